// Which gateways there are, and which of them are reachable.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/rates/shared_rate_options.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A gateway's membership, as the store or its own reports tell.
struct gateway_member
{
    vm_id vm;
    incarnation_number incarnation;
    std::string address; // ip:port of its peer reports
    zone_id zone;

    friend bool operator==(const gateway_member &, const gateway_member &) = default;
};

/// @brief Tracks members and which are reachable. A member is reachable if it was heard lately and
/// says that it has heard us lately.
class peer_table
{
public:
    peer_table(gateway_member self, shared_rate_options options);

    /// @brief Takes a member's record from the store.
    /// @param revision changes with each renewal
    void onMember(const gateway_member &member, std::uint64_t revision, time_point now);
    /// @brief Takes the removal of a member that stopped as planned.
    void onMemberRemoved(const vm_id &vm, incarnation_number incarnation);
    /// @brief Tells that our own membership was written by a call sent at this time.
    void onOwnMembership(time_point sentAt) { m_ownMembershipAt = sentAt; }
    /// @brief Takes a report from a peer.
    /// @param receivesOurs whether the peer has heard this incarnation of ours lately
    /// @return whether the peer was reachable before
    bool onReport(const gateway_member &peer, bool receivesOurs, time_point now);

    /// @brief Drops members that are gone.
    void tick(time_point now);

    /// @return the share of the fleet's rates that the reachable gateways may use together
    [[nodiscard]] double share(time_point now) const;
    [[nodiscard]] bool isReachable(const vm_id &vm, time_point now) const;
    /// @return the reachable members
    [[nodiscard]] std::vector<gateway_member> reachablePeers(time_point now) const;
    /// @return all members but this one, to send reports to
    [[nodiscard]] std::vector<gateway_member> others() const;
    /// @return the member's incarnation if it was heard lately, for our own report to it
    [[nodiscard]] std::optional<incarnation_number> recentIncarnation(const vm_id &vm,
                                                                      time_point now) const;

private:
    struct peer_state
    {
        gateway_member member;
        std::uint64_t revision = 0;
        time_point renewedAt{}; // when a new revision was seen
        std::optional<time_point> lastReceivedAt;
        std::optional<time_point> receivesOursAt; // when it said so
    };

    [[nodiscard]] duration peerTimeout() const;
    [[nodiscard]] bool isReachable(const peer_state &peer, time_point now) const;

    const gateway_member m_self;
    const shared_rate_options m_options;
    std::map<vm_id, peer_state> m_peers; // never holds m_self
    std::optional<time_point> m_ownMembershipAt;
};

} // namespace tamarack
