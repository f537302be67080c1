// Determines the reachable peers and the resulting share of the rates.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/rates/peer_table.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

// Incarnations of gateways are the microseconds of their starts; the clocks of VMs differ by less.
constexpr std::chrono::microseconds StartMargin = std::chrono::seconds(3);

} // namespace

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
        insert(member, revision, now);
        return;
    }
    peer_state &peer = found->second;
    if (member.incarnation < peer.member.incarnation || peer.revision == revision)
        return;
    if (peer.member.incarnation < member.incarnation)
        insert(member, revision, now);
    peer.revision = revision;
    peer.renewedAt = now;
}

void peer_table::onMemberRemoved(const vm_id &vm, incarnation_number incarnation)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || found->second.member.incarnation != incarnation)
        return;
    m_vmByHash.erase(stableHash(vm.value()));
    m_peers.erase(found);
    countZones();
}

bool peer_table::onReport(const gateway_member &peer, bool receivesOurs, time_point now)
{
    if (peer.vm == m_self.vm)
        return false;
    const auto found = m_peers.find(peer.vm);
    if (found != m_peers.end() && peer.incarnation < found->second.member.incarnation)
        return false;
    const bool isNew =
        found == m_peers.end() || found->second.member.incarnation < peer.incarnation;
    peer_state &state = isNew ? insert(peer, 0, now) : found->second;
    const bool wasReachable = isReachable(state, reachLimits(now), now);
    state.lastReceivedAt = now;
    if (receivesOurs)
        state.receivesOursAt = now;
    return wasReachable;
}

// The zones confirm to each other that they receive their reports, so what is passed on counts as
// confirmed.
bool peer_table::onRelayed(const vm_id &vm, incarnation_number incarnation, time_point receivedAt,
                           time_point now)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || incarnation < found->second.member.incarnation)
        return false;
    peer_state &state = found->second;
    if (state.member.incarnation < incarnation) {
        gateway_member restarted = state.member;
        restarted.incarnation = incarnation;
        insert(restarted, 0, now);
    }
    const bool wasReachable = isReachable(state, reachLimits(now), now);
    state.lastReceivedAt = std::max(state.lastReceivedAt.value_or(receivedAt), receivedAt);
    state.receivesOursAt = std::max(state.receivesOursAt.value_or(receivedAt), receivedAt);
    return wasReachable;
}

void peer_table::setServing(const vm_id &vm, bool serving)
{
    const auto found = m_peers.find(vm);
    if (found != m_peers.end())
        found->second.serving = serving;
}

void peer_table::tick(time_point now)
{
    const auto removed = std::erase_if(m_peers, [&](const auto &entry) {
        const peer_state &peer = entry.second;
        const time_point lastSeenAt =
            peer.lastReceivedAt ? std::max(*peer.lastReceivedAt, peer.renewedAt) : peer.renewedAt;
        return now - lastSeenAt > m_options.memberTimeout;
    });
    if (removed == 0)
        return;
    std::erase_if(m_vmByHash, [&](const auto &entry) { return !m_peers.contains(entry.second); });
    countZones();
}

double peer_table::share(time_point now) const
{
    reach_limits limits = reachLimits(now);
    if (reportsByZone()) {
        limits.direct = std::min(limits.direct, m_options.shareTimeoutByZone);
        limits.relayed = std::min(limits.relayed, m_options.shareTimeoutByZone);
    }
    unsigned reachableCount = 1;
    for (const auto &[vm, peer] : m_peers)
        reachableCount += isReachable(peer, limits, now) ? 1 : 0;
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
    return found != m_peers.end() && isReachable(found->second, reachLimits(now), now);
}

std::vector<gateway_member> peer_table::reachablePeers(time_point now) const
{
    const reach_limits limits = reachLimits(now);
    std::vector<gateway_member> result;
    for (const auto &[vm, peer] : m_peers) {
        if (isReachable(peer, limits, now))
            result.push_back(peer.member);
    }
    return result;
}

std::vector<vm_id> peer_table::servingPeers(time_point now) const
{
    const reach_limits limits = reachLimits(now);
    std::vector<vm_id> result;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.serving && isReachable(peer, limits, now))
            result.push_back(vm);
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

std::vector<gateway_member> peer_table::zonePeers() const
{
    std::vector<gateway_member> result;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.member.zone == m_self.zone)
            result.push_back(peer.member);
    }
    return result;
}

std::map<zone_id, std::vector<gateway_member>> peer_table::otherZones() const
{
    std::map<zone_id, std::vector<gateway_member>> zones;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.member.zone != m_self.zone)
            zones[peer.member.zone].push_back(peer.member);
    }
    return zones;
}

bool peer_table::startedBefore(incarnation_number incarnation) const
{
    const auto margin = static_cast<std::uint64_t>(StartMargin.count());
    return incarnation.value() + margin < m_self.incarnation.value();
}

const gateway_member *peer_table::find(const vm_id &vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : &found->second.member;
}

const gateway_member *peer_table::findByHash(std::uint64_t hash) const
{
    const auto found = m_vmByHash.find(hash);
    return found == m_vmByHash.end() ? nullptr : &m_peers.at(found->second).member;
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

peer_table::peer_state &peer_table::insert(const gateway_member &member, std::uint64_t revision,
                                           time_point now)
{
    peer_state &peer = m_peers[member.vm];
    peer = peer_state{member, revision, now, std::nullopt, std::nullopt, false};
    m_vmByHash.insert_or_assign(stableHash(member.vm.value()), member.vm);
    countZones();
    return peer;
}

void peer_table::countZones()
{
    std::set<zone_id> zones;
    m_zonePeers = 0;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.member.zone == m_self.zone)
            ++m_zonePeers;
        else
            zones.insert(peer.member.zone);
    }
    m_otherZones = zones.size();
}

duration peer_table::peerTimeout() const
{
    if (reportsByZone())
        return m_options.peerTimeout + m_zonePeers * m_options.timeoutPerZonePeer;
    return m_options.peerTimeout + m_peers.size() * m_options.timeoutPerPeer;
}

peer_table::reach_limits peer_table::reachLimits(time_point now) const
{
    const duration timeout = peerTimeout();
    return {timeout, timeout + m_options.relayedDelay, inContact(timeout, now)};
}

bool peer_table::isRelayed(const peer_state &peer) const
{
    return reportsByZone() && peer.member.zone != m_self.zone;
}

// A gateway whose own reports reach nobody must not count on the share of gateways that it hears
// of, since nobody hears of what it admits.
bool peer_table::inContact(duration timeout, time_point now) const
{
    if (!reportsByZone())
        return true;
    if (m_receivedElsewhereAt && now - *m_receivedElsewhereAt < timeout)
        return true;
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const peer_state &peer = entry.second;
        return !isRelayed(peer) && isReachable(peer, {timeout, timeout, true}, now);
    });
}

bool peer_table::isReachable(const peer_state &peer, const reach_limits &limits,
                             time_point now) const
{
    const bool relayed = isRelayed(peer);
    if (relayed && !limits.inContact)
        return false;
    const duration timeout = relayed ? limits.relayed : limits.direct;
    return peer.lastReceivedAt && peer.receivesOursAt && now - *peer.lastReceivedAt < timeout
           && now - *peer.receivesOursAt < timeout;
}

} // namespace tamarack
