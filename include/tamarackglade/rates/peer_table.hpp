// Table of the other gateways and of their reachability.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/rates/shared_rate_options.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A member of the fleet, as registered in the store or described by its own reports.
struct gateway_member
{
    vm_id vm;
    incarnation_number incarnation;
    std::string address; // ip:port that receives peer reports
    zone_id zone;

    friend bool operator==(const gateway_member &, const gateway_member &) = default;
};

/// @brief Tracks the members and which of them are reachable.
///
/// A peer is reachable if, within the peer timeout, a report arrived from it that confirms that it
/// receives the reports of this gateway. The timeout grows with the number of peers.
class peer_table
{
public:
    peer_table(gateway_member self, shared_rate_options options);

    /// @brief Adds or renews a member from its record in the store; older incarnations are ignored.
    /// @param revision changes with each renewal
    void onMember(const gateway_member &member, std::uint64_t revision, time_point now);
    /// @brief Removes a member that stopped as planned, if the incarnation is the current one.
    void onMemberRemoved(const vm_id &vm, incarnation_number incarnation);
    /// @brief Stores when the call was sent that last wrote this gateway's own membership.
    void onOwnMembership(time_point sentAt) { m_ownMembershipAt = sentAt; }
    /// @brief Records the arrival of a peer's report; reports of older incarnations are ignored.
    /// @param receivesOurs whether the peer recently received a report of this gateway's
    /// incarnation
    /// @return whether the peer was reachable before the report
    bool onReport(const gateway_member &peer, bool receivesOurs, time_point now);

    /// @brief Removes members that neither reported nor renewed within memberTimeout.
    void tick(time_point now);

    /// @return the share of the fleet's rates, from 0 to 1, that this gateway and its reachable
    /// peers may use together; 0 without a reachable peer and a recent own membership
    [[nodiscard]] double share(time_point now) const;
    [[nodiscard]] bool isReachable(const vm_id &vm, time_point now) const;
    /// @return the reachable peers
    [[nodiscard]] std::vector<gateway_member> reachablePeers(time_point now) const;
    /// @return all members except this gateway, reachable or not
    [[nodiscard]] std::vector<gateway_member> others() const;
    /// @return the peer's incarnation if it reported within the peer timeout, else nullopt; the
    /// report to the peer contains it
    [[nodiscard]] std::optional<incarnation_number> recentIncarnation(const vm_id &vm,
                                                                      time_point now) const;

private:
    struct peer_state
    {
        gateway_member member;
        std::uint64_t revision = 0;
        time_point renewedAt{}; // when a new revision was seen
        std::optional<time_point> lastReceivedAt;
        std::optional<time_point> receivesOursAt; // arrival of the last report that confirmed it
    };

    [[nodiscard]] duration peerTimeout() const;
    [[nodiscard]] bool isReachable(const peer_state &peer, time_point now) const;

    const gateway_member m_self;
    const shared_rate_options m_options;
    std::map<vm_id, peer_state> m_peers; // never contains m_self
    std::optional<time_point> m_ownMembershipAt;
};

} // namespace tamarack
