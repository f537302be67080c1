// Exchange of the quarantines with other gateways and with the store.
#pragma once

#include <tamarackglade/gateway/exchange/request_quarantine_exchange.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/quarantine/prompt_quarantine.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <unordered_map>

namespace tamarack {

/// @brief Encodes and applies the quarantines' part of peer reports and membership records, and
/// logs its changes. All calls on the gateway's thread.
class quarantine_exchange
{
public:
    quarantine_exchange(prompt_quarantine &parts, request_quarantine &requests,
                        metric_registry &metrics)
        : m_quarantine(parts), m_requests(requests, metrics), m_metrics(metrics)
    {
    }

    /// @brief Adds breaks, successes and states to a report.
    void addTo(schema::peer_report_message &report, time_point now);
    /// @brief Applies a peer's report.
    void apply(const schema::peer_report_message &report, time_point now);
    /// @brief Records the recent successful runs of a peer.
    void onPeerSuccesses(const vm_id &peer, std::uint32_t successes, time_point now);
    /// @brief Adds the states to a membership record, so that they outlast this process.
    void addTo(schema::member_record_message &record, time_point now) const;
    /// @brief Applies a membership record, of whatever age.
    void apply(const schema::member_record_message &record, time_point now);

    /// @brief Evaluates the evidence and logs the changes.
    /// @param directory of the upstreams that serve
    /// @param serving the reachable gateways that serve requests, including this one if it does
    void tick(const upstream_directory &directory, std::vector<vm_id> serving, time_point now);
    /// @return this gateway's share of the recent runs of all reachable gateways, from 0 to 1
    [[nodiscard]] double loadShare(time_point now);
    /// @return whether a break or a change is in no report yet
    [[nodiscard]] bool hasNews() const
    {
        return m_hasNews || m_requests.hasNews() || m_lastBreakAt > m_reportedAt;
    }
    /// @brief Marks that there is a new break of this gateway.
    void onBreak(time_point now) { m_lastBreakAt = now; }

private:
    struct peer_successes
    {
        double count = 0;
        time_point receivedAt{};
    };

    void log(const quarantine_change &change, time_point now);
    [[nodiscard]] double peerSuccesses(time_point now);

    prompt_quarantine &m_quarantine;
    request_quarantine_exchange m_requests;
    metric_registry &m_metrics;
    std::unordered_map<vm_id, peer_successes> m_peers;
    std::size_t m_nextState = 0; // index of the state that the next report begins with
    time_point m_lastBreakAt{};
    time_point m_reportedAt{};
    bool m_hasNews = false;
};

} // namespace tamarack
