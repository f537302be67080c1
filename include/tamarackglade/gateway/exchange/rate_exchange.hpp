// Exchange of admitted requests and of upstreams' rates between gateways.
#pragma once

#include <tamarackglade/gateway/process/config_watch.hpp>
#include <tamarackglade/gateway/upstream/response_listener.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/placement/upstream_rates.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <unordered_map>

namespace tamarack {

/// @brief Selects the counts that a report holds: those that changed lately, and a part of the
/// others in each report.
template <class Id>
class count_schedule
{
public:
    /// @param hash stable hash of the id
    /// @param count value that the report would hold
    [[nodiscard]] bool isDue(const Id &id, std::uint64_t hash, std::uint64_t count, time_point now)
    {
        sent_count &sent = m_sent[id];
        if (sent.count != count)
            sent = {count, now};
        return hash % Rounds == m_round % Rounds || now - sent.changedAt < RepeatWindow;
    }
    void nextRound() { ++m_round; }

private:
    // A changed count is repeated in every report for this time, as reports may be lost. An
    // unchanged count is sent in one of Rounds successive reports.
    static constexpr std::chrono::milliseconds RepeatWindow{1'200};
    static constexpr std::size_t Rounds = 8;

    struct sent_count
    {
        std::uint64_t count = 0;
        time_point changedAt{};
    };

    std::unordered_map<Id, sent_count> m_sent;
    std::uint64_t m_round = 0; // number of reports so far
};

/// @brief Encodes and applies the rates' part of peer reports, and logs the changes of upstreams'
/// rates. All calls on the gateway's thread.
class rate_exchange final : public response_listener
{
public:
    rate_exchange(shared_rates<customer_id> &customers, upstream_rates &upstreams,
                  const upstream_directory &directory, const config_watch &config,
                  metric_registry &metrics)
        : m_customers(customers), m_upstreams(upstreams), m_directory(directory), m_config(config),
          m_metrics(metrics)
    {
    }

    /// @brief Applies the rate that the upstream states in a response.
    void onResponse(const live_upstream &upstream, const response_metadata &metadata) override;

    /// @brief Adds counts and statements to a report.
    void addTo(schema::peer_report_message &report, time_point now);
    /// @brief Applies a peer's counts of customers.
    /// @param wasReachable whether the peer was reachable before it reported them
    void applyCustomers(const vm_id &peer, incarnation_number incarnation,
                        const std::vector<schema::customer_count> &counts, bool wasReachable,
                        time_point now);
    /// @brief Applies the rates of upstreams in a peer's report.
    /// @param wasReachable whether the peer was reachable before the report
    void applyUpstreams(const schema::peer_report_message &report, bool wasReachable,
                        time_point now);
    /// @brief Forgets upstreams that are gone.
    void tick();

private:
    void applyStatement(const rate_statement &statement, const char *source, time_point now);

    shared_rates<customer_id> &m_customers;
    upstream_rates &m_upstreams;
    const upstream_directory &m_directory;
    const config_watch &m_config;
    metric_registry &m_metrics;
    count_schedule<customer_id> m_customerSchedule;
    count_schedule<upstream_id> m_upstreamSchedule;
};

} // namespace tamarack
