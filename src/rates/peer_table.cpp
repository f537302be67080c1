// Determines the reachable peers and the resulting share of the rates.
#include <tamarackglade/rates/peer_table.hpp>

#include <utility>

namespace tamarack {

peer_table::peer_table(gateway_member self, shared_rate_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void peer_table::onMember(const gateway_member &member, std::uint64_t revision, time_point now)
{
    if (member.vm == m_self.vm)
        return;
    const auto found = m_peers.find(member.vm);
    if (found == m_peers.end()) {
        m_peers.emplace(member.vm, peer_state{member, revision, now, std::nullopt, std::nullopt});
        return;
    }
    peer_state &peer = found->second;
    if (member.incarnation < peer.member.incarnation || peer.revision == revision)
        return;
    if (peer.member.incarnation < member.incarnation)
        peer = peer_state{member, revision, now, std::nullopt, std::nullopt};
    peer.revision = revision;
    peer.renewedAt = now;
}

void peer_table::onMemberRemoved(const vm_id &vm, incarnation_number incarnation)
{
    const auto found = m_peers.find(vm);
    if (found != m_peers.end() && found->second.member.incarnation == incarnation)
        m_peers.erase(found);
}

bool peer_table::onReport(const gateway_member &peer, bool receivesOurs, time_point now)
{
    if (peer.vm == m_self.vm)
        return false;
    auto &state = m_peers[peer.vm];
    if (peer.incarnation < state.member.incarnation)
        return false;
    if (state.member.incarnation < peer.incarnation)
        state = peer_state{peer, 0, now, std::nullopt, std::nullopt};
    const bool wasReachable = isReachable(state, now);
    state.lastReceivedAt = now;
    if (receivesOurs)
        state.receivesOursAt = now;
    return wasReachable;
}

void peer_table::tick(time_point now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const peer_state &peer = entry.second;
        const time_point lastSeenAt =
            peer.lastReceivedAt ? std::max(*peer.lastReceivedAt, peer.renewedAt) : peer.renewedAt;
        return now - lastSeenAt > m_options.memberTimeout;
    });
}

double peer_table::share(time_point now) const
{
    unsigned reachableCount = 1;
    for (const auto &[vm, peer] : m_peers)
        reachableCount += isReachable(peer, now) ? 1 : 0;
    const bool alone = reachableCount == 1;
    const bool isMember =
        m_ownMembershipAt && now - *m_ownMembershipAt < m_options.ownMembershipTimeout;
    if (alone && !isMember)
        return 0;
    return static_cast<double>(reachableCount) / static_cast<double>(m_peers.size() + 1);
}

bool peer_table::isReachable(const vm_id &vm, time_point now) const
{
    const auto found = m_peers.find(vm);
    return found != m_peers.end() && isReachable(found->second, now);
}

std::vector<gateway_member> peer_table::reachablePeers(time_point now) const
{
    std::vector<gateway_member> result;
    for (const auto &[vm, peer] : m_peers) {
        if (isReachable(peer, now))
            result.push_back(peer.member);
    }
    return result;
}

std::vector<gateway_member> peer_table::others() const
{
    std::vector<gateway_member> result;
    for (const auto &[vm, peer] : m_peers)
        result.push_back(peer.member);
    return result;
}

std::optional<incarnation_number> peer_table::recentIncarnation(const vm_id &vm,
                                                                time_point now) const
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return std::nullopt;
    const peer_state &peer = found->second;
    if (!peer.lastReceivedAt || now - *peer.lastReceivedAt >= peerTimeout())
        return std::nullopt;
    return peer.member.incarnation;
}

duration peer_table::peerTimeout() const
{
    return m_options.peerTimeout + m_peers.size() * m_options.timeoutPerPeer;
}

bool peer_table::isReachable(const peer_state &peer, time_point now) const
{
    const duration timeout = peerTimeout();
    return peer.lastReceivedAt && peer.receivesOursAt && now - *peer.lastReceivedAt < timeout
           && now - *peer.receivesOursAt < timeout;
}

} // namespace tamarack
