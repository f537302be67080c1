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

/// @brief Requests per second of all gateways to an upstream, and how many of them at once.
struct rate_limit
{
    double rate = 0; // 0 for no limit
    double burst = 0;
    bool isBoundEachTurn = false; // what one gateway sends in a turn is bounded as well

    friend bool operator==(const rate_limit &, const rate_limit &) = default;
};

/// @brief Keeps the requests to each upstream within the rate that it states, and within the rate
/// of its group while it warms up.
///
/// The newest statement counts, whichever gateway received it; a statement without a rate ends the
/// limit. Gateways share the rate by token buckets, as they do for customers, so that each uses
/// what its own load needs. An upstream with few requests and a new token looks best to all
/// gateways at the same time, so each may use a token only in a part of the time, by its share of
/// the load. This handles upstreams that accept less than their slots allow.
///
/// An upstream that warms up may crash at a higher rate, so the bound has to hold in each second:
/// its bucket is small. Each gateway reads the end of the warm-up from the upstream's record, so
/// reports only carry what was sent. A bucket begins empty, so that gateways that start together
/// before a fleet that warms up send no burst.
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
    /// @brief Sets the rates of upstreams of each group while they warm up; groups without a rate
    /// have no limit.
    void setWarmUpRates(std::unordered_map<group_id, double> rates, time_point now);
    /// @brief Applies the warm-up that an upstream's record states, which may begin at any time.
    /// @param until end of the warm-up; not in the future for none
    void onWarmUp(const live_upstream &upstream, time_point until, time_point now);

    /// @return whether a request may be sent now; batch work leaves the last token to online work
    [[nodiscard]] bool maySend(const upstream_id &upstream, work_class work, time_point now) const;
    /// @return how much of the rate is used up, from 0 to 1; 0 without a limit
    [[nodiscard]] double exhaustion(const upstream_id &upstream, time_point now) const;
    /// @brief Counts a request of this gateway.
    void onSent(const upstream_id &upstream, time_point now);

    /// @brief Subtracts what a peer has sent since its last report; call for each report.
    void onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                      const std::vector<admitted_count<upstream_id>> &counts, bool wasReachable,
                      time_point now)
    {
        m_sent.onPeerCounts(peer, incarnation, counts, wasReachable, now);
    }

    /// @return the statements to report to peers, and one without a rate for each other upstream
    /// with a limit
    [[nodiscard]] std::vector<rate_statement> statements() const;
    /// @return the requests that this gateway sent to an upstream since it first stated a rate
    [[nodiscard]] admitted_count<upstream_id> sentTo(const upstream_id &upstream) const
    {
        return m_sent.ownCount(upstream);
    }
    /// @return the number of upstreams that state a rate
    [[nodiscard]] std::size_t limited() const;
    /// @return the number of upstreams that warm up in a group with a rate
    [[nodiscard]] std::size_t warmingUp(time_point now) const;

    /// @brief Removes upstreams that are gone or started again, and warm-ups that have ended.
    void tick(const upstream_directory &directory, time_point now);

private:
    struct turn_use
    {
        std::uint64_t turn = 0;
        unsigned sent = 0; // by this gateway, in the turn
    };
    struct warm_up
    {
        group_id group;
        incarnation_number incarnation;
        time_point until{};
    };

    /// @return the limit that holds now: the lower one of the statement and the warm-up
    [[nodiscard]] rate_limit limitOf(const upstream_id &upstream, time_point now) const;
    /// @brief Applies a change of the limit to the bucket.
    void updateLimit(const upstream_id &upstream, time_point now);
    [[nodiscard]] double warmUpRate(const upstream_id &upstream, time_point now) const;
    /// @return the requests that this gateway may send in one of its turns
    [[nodiscard]] double allowedInTurn(const rate_limit &limit) const;
    /// @return whether it is this gateway's turn to use one of the tokens
    [[nodiscard]] bool hasTurn(const upstream_id &upstream, time_point now) const;

    const vm_id m_self;
    double m_loadShare = 1;
    std::unordered_map<upstream_id, rate_statement> m_statements;
    std::unordered_map<group_id, double> m_warmUpRates; // requests per second, above 0
    std::unordered_map<upstream_id, warm_up> m_warmUps;
    // Of exactly the upstreams in m_statements and m_warmUps.
    std::unordered_map<upstream_id, rate_limit> m_limits;
    std::unordered_map<upstream_id, turn_use> m_turnUse; // only upstreams in m_limits
    shared_rates<upstream_id> m_sent; // limits of exactly the upstreams in m_limits
};

} // namespace tamarack
