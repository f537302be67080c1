// Table of the other gateways and of their reachability.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/rates/shared_rate_options.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
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
/// receives the reports of this gateway. The timeout grows with the number of gateways that report
/// directly. In large fleets, zones report to each other. A gateway of another zone is then
/// reachable if its zone received a report of it within the timeout, and if some gateway receives
/// the reports of this one: a reachable one of its own zone, or any of another zone.
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

    /// @brief Records that a gateway of another zone received a report of this peer; unknown
    /// members and older incarnations are ignored.
    /// @param receivedAt when it received that report
    /// @return whether the peer was reachable before
    bool onRelayed(const vm_id &vm, incarnation_number incarnation, time_point receivedAt,
                   time_point now);
    /// @brief Records that a gateway of another zone receives the reports of this one.
    void onReceivedElsewhere(time_point now) { m_receivedElsewhereAt = now; }
    /// @brief Records whether a peer takes batch work.
    void setServing(const vm_id &vm, bool serving);

    /// @brief Removes members that neither reported nor renewed within memberTimeout.
    void tick(time_point now);

    /// @return the share of the fleet's rates, from 0 to 1, that this gateway and its reachable
    /// peers may use together; 0 without a reachable peer and a recent own membership
    [[nodiscard]] double share(time_point now) const;
    [[nodiscard]] bool isReachable(const vm_id &vm, time_point now) const;
    /// @return the reachable peers
    [[nodiscard]] std::vector<gateway_member> reachablePeers(time_point now) const;
    /// @return the reachable peers that take batch work
    [[nodiscard]] std::vector<vm_id> servingPeers(time_point now) const;
    /// @return whether the gateways of a zone report to other zones by a few of them, since the
    /// fleet is too large for reports of each to each
    [[nodiscard]] bool reportsByZone() const { return m_peers.size() >= m_options.maxDirectFleet; }
    /// @return the number of zones with members, without this one
    [[nodiscard]] std::size_t otherZoneCount() const { return m_otherZones; }
    /// @return the other gateways of this zone, reachable or not
    [[nodiscard]] std::vector<gateway_member> zonePeers() const;
    /// @return the gateways of the other zones, reachable or not
    [[nodiscard]] std::map<zone_id, std::vector<gateway_member>> otherZones() const;
    /// @return whether a gateway of this incarnation started well before this one
    [[nodiscard]] bool startedBefore(incarnation_number incarnation) const;
    /// @return the member, or nullptr
    [[nodiscard]] const gateway_member *find(const vm_id &vm) const;
    /// @return the member, or nullptr
    /// @param hash stable hash of its VM
    [[nodiscard]] const gateway_member *findByHash(std::uint64_t hash) const;
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
        bool serving = false; // takes batch work
    };

    /// What the reachability of all peers depends on at one time.
    struct reach_limits
    {
        duration direct{}; // timeout of gateways that report directly
        duration relayed{}; // timeout of the others
        bool inContact = true; // whether relayed reports count
    };

    [[nodiscard]] duration peerTimeout() const;
    [[nodiscard]] reach_limits reachLimits(time_point now) const;
    [[nodiscard]] bool isRelayed(const peer_state &peer) const;
    [[nodiscard]] bool isReachable(const peer_state &peer, const reach_limits &limits,
                                   time_point now) const;
    [[nodiscard]] bool inContact(duration timeout, time_point now) const;
    peer_state &insert(const gateway_member &member, std::uint64_t revision, time_point now);
    void countZones();

    const gateway_member m_self;
    const shared_rate_options m_options;
    std::map<vm_id, peer_state> m_peers; // never contains m_self
    std::unordered_map<std::uint64_t, vm_id> m_vmByHash; // of m_peers
    std::size_t m_zonePeers = 0; // members of m_peers in this zone
    std::size_t m_otherZones = 0; // zones of the other members
    std::optional<time_point> m_ownMembershipAt;
    std::optional<time_point> m_receivedElsewhereAt;
};

} // namespace tamarack
