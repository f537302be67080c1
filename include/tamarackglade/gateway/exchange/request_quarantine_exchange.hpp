// Exchange of the quarantine of requests with other gateways and with the store.
#pragma once

#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/quarantine/request_quarantine.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <map>
#include <vector>

namespace tamarack {

/// @brief Encodes and applies what reports and membership records say of requests that crash
/// upstreams, and logs changes. All calls on the gateway's thread.
class request_quarantine_exchange
{
public:
    request_quarantine_exchange(request_quarantine &quarantine, metric_registry &metrics)
        : m_quarantine(quarantine), m_metrics(metrics)
    {
    }

    /// @brief Adds successes and states to a report.
    void addTo(schema::peer_report_message &report, time_point now);
    /// @brief Applies a peer's report, but for its breaks.
    void apply(const schema::peer_report_message &report, time_point now);
    /// @brief Applies a break that a peer reported.
    void onPeerBreak(const broken_run &broken, time_point now);
    /// @brief Adds states and suspicions to a membership record, so that they outlast this process.
    void addTo(schema::member_record_message &record, time_point now) const;
    /// @brief Applies a membership record.
    /// @param recordAge time since it was written
    void apply(const schema::member_record_message &record, duration recordAge, time_point now);

    /// @brief Evaluates the evidence and logs the changes.
    void tick(const request_crashes::living_predicate &livesOn, std::vector<vm_id> serving,
              std::map<group_id, std::size_t> groupSizes, time_point now);
    /// @return whether a change is in no report yet
    [[nodiscard]] bool hasNews() const { return m_hasNews; }

private:
    void log(const request_quarantine_change &change, time_point now) const;

    request_quarantine &m_quarantine;
    metric_registry &m_metrics;
    std::size_t m_nextState = 0; // index of the older state that the next report begins with
    bool m_hasNews = false;
};

} // namespace tamarack
