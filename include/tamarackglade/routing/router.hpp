// Chooses upstreams for the calls of one entry process.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/route_candidate.hpp>
#include <tamarackglade/routing/routing_mutation.hpp>
#include <tamarackglade/routing/routing_options.hpp>
#include <tamarackglade/routing/routing_strategy.hpp>
#include <tamarackglade/routing/upstream_chooser.hpp>
#include <tamarackglade/routing/upstream_health.hpp>
#include <tamarackglade/routing/upstream_info.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Filters upstreams by group, model, connection, state and health, and lets a strategy
/// choose among the rest.
/// At most half of the upstreams of a group that fit a query are ejected. The load of an upstream
/// is that of its last report, corrected by the calls that this process started and ended since.
/// choose costs O(upstreams * log upstreams).
class router : public upstream_chooser
{
public:
    router(const routing_options &options, std::mt19937_64 random,
           routing_mutation mutation = routing_mutation::None);

    /// @brief Replaces the upstreams; the state of those that remain is kept.
    void setUpstreams(const std::vector<upstream_info> &upstreams);

    /// @name Events of single upstreams; those of unknown upstreams are ignored
    /// @{
    /// @brief Makes the upstream usable and begins its slow start.
    void onConnected(const upstream_id &upstream, time_point now);
    /// @brief Excludes the upstream until it connects again, and drops its reported load.
    void onDisconnected(const upstream_id &upstream);
    /// @brief Stores the reported state and load of the upstream.
    void onReport(const upstream_id &upstream, const schema::load_report_message &report);
    /// @param leaving according to the VM list or a drain; independent of the load reports
    void onLeaving(const upstream_id &upstream, bool leaving, time_point now);
    /// @}

    std::optional<upstream_id> choose(const route_query &query, time_point now) override;
    void onAttemptStarted(const upstream_id &upstream, time_point now) override;
    void onAttemptEnded(const upstream_id &upstream, attempt_result result,
                        time_point now) override;

    /// @return whether the upstream is ejected because of failures, or waits for the end of a probe
    [[nodiscard]] bool isEjected(const upstream_id &upstream, time_point now) const;

    /// @return the estimated number of calls at the upstream; 0 if it is unknown
    [[nodiscard]] double loadOf(const upstream_id &upstream) const;

private:
    struct upstream_state
    {
        explicit upstream_state(const health_options &options) : health(options) { }

        upstream_info info;
        upstream_health health;
        bool connected = false;
        bool leaving = false; // according to the VM list or a drain
        schema::upstream_state reported = schema::upstream_state::Serving;
        double reportedLoad = 0; // calls in the last report
        double inFlight = 0; // calls of this process
        double inFlightAtReport = 0;
        std::optional<time_point> returnedAt; // when it last connected or stopped leaving
    };

    [[nodiscard]] bool isEligible(const upstream_state &state, const route_query &query) const;
    [[nodiscard]] std::vector<const upstream_state *> usableUpstreams(const route_query &query,
                                                                      time_point now) const;
    [[nodiscard]] route_candidate candidateOf(const upstream_state &state, time_point now) const;
    [[nodiscard]] double slowStartShareOf(const upstream_state &state, time_point now) const;
    [[nodiscard]] static double loadOf(const upstream_state &state);
    upstream_state *find(const upstream_id &upstream);

    routing_options m_options;
    std::mt19937_64 m_random;
    routing_mutation m_mutation;
    std::unique_ptr<routing_strategy> m_strategy;
    std::map<std::string, upstream_state> m_upstreams; // by id
};

} // namespace tamarack
