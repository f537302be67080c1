// Request rates that upstreams accept, and the requests that all gateways send them.
#pragma once

#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/placement/work_class.hpp>
#include <tamarackglade/rates/shared_rates.hpp>

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief What an upstream last stated about its rate, in one of its responses.
struct rate_statement
{
    upstream_id upstream;
    incarnation_number incarnation;
    std::optional<double> rate; // requests per second from all gateways; nullopt for no limit
    time_point at{}; // arrival of the response
};

/// @brief Keeps the requests to each upstream within the rate that it states.
///
/// The newest statement counts, whichever gateway received it; a statement without a rate ends the
/// limit. Gateways share the rate by token buckets, as they do for customers, so that each uses
/// what its own load needs. An upstream with few requests and a new token looks best to all
/// gateways at the same time, so each may use a token only in a part of the time, by its share of
/// the load. This handles upstreams that accept less than their slots allow.
class upstream_rates
{
public:
    /// @param self this gateway
    upstream_rates(vm_id self, const peer_table &peerTable)
        : m_self(std::move(self)), m_sent(peerTable)
    {
    }

    /// @brief Sets this gateway's share of the load of all reachable gateways, from 0 to 1.
    void setLoadShare(double share) { m_loadShare = share; }

    /// @brief Applies a statement. Older ones than the known one are ignored, as are those without
    /// a rate of upstreams that never stated one.
    /// @return whether the rate changed
    bool onStatement(const rate_statement &statement, time_point now);
    /// @return whether a request may be sent now; batch work leaves the last token to online work
    [[nodiscard]] bool maySend(const upstream_id &upstream, work_class work, time_point now) const;
    /// @return how much of the rate is used up, from 0 to 1; 0 without a limit
    [[nodiscard]] double exhaustion(const upstream_id &upstream, time_point now) const;
    /// @brief Counts a request of this gateway.
    void onSent(const upstream_id &upstream, time_point now) { m_sent.take(upstream, now); }

    /// @brief Subtracts what a peer has sent since its last report; call for each report.
    void onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                      const std::vector<admitted_count<upstream_id>> &counts, bool wasReachable,
                      time_point now)
    {
        m_sent.onPeerCounts(peer, incarnation, counts, wasReachable, now);
    }

    /// @return the statements to report to peers
    [[nodiscard]] std::vector<rate_statement> statements() const;
    /// @return the requests that this gateway sent to an upstream since it first stated a rate
    [[nodiscard]] admitted_count<upstream_id> sentTo(const upstream_id &upstream) const
    {
        return m_sent.ownCount(upstream);
    }
    /// @return the number of upstreams with a limit
    [[nodiscard]] std::size_t limited() const;

    /// @brief Forgets upstreams that are gone or started again.
    void tick(const upstream_directory &directory);

private:
    /// @return whether it is this gateway's turn to use one of the tokens
    [[nodiscard]] bool hasTurn(const upstream_id &upstream, time_point now) const;

    const vm_id m_self;
    double m_loadShare = 1;
    std::unordered_map<upstream_id, rate_statement> m_statements;
    shared_rates<upstream_id> m_sent; // limits of exactly the upstreams in m_statements
};

} // namespace tamarack
