// Admits requests by token buckets that are shared with the reachable gateways.
#include <tamarackglade/rates/shared_rates.hpp>

#include <limits>

namespace tamarack {

template <class Id>
void shared_rates<Id>::setLimit(const Id &id, double rate, double burst, time_point now)
{
    auto &state =
        m_limits.try_emplace(id, limit_state{shared_bucket(rate, burst, now)}).first->second;
    state.limited = rate > 0;
    state.bucket.setLimit(rate, burst, m_peerTable.share(now), now);
}

template <class Id>
std::optional<duration> shared_rates<Id>::admit(const Id &id, time_point now)
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end())
        return std::nullopt;
    limit_state &state = found->second;
    const double share = m_peerTable.share(now);
    if (state.limited && !state.bucket.tryTake(share, now))
        return state.bucket.untilToken(share);
    ++state.admitted;
    return std::nullopt;
}

template <class Id>
void shared_rates<Id>::onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                                    const std::vector<admitted_count<Id>> &counts,
                                    bool wasReachable, time_point now)
{
    peer_counts &recorded = m_peers[peer];
    const bool sameProcess = recorded.incarnation == incarnation;
    if (!sameProcess)
        recorded = peer_counts{incarnation, m_peerTable.startedBefore(incarnation), {}};
    for (const admitted_count<Id> &count : counts) {
        const auto [known, isFirst] = recorded.admitted.try_emplace(count.id, 0);
        auto &last = known->second;
        const std::uint64_t newlyAdmitted = count.admitted > last ? count.admitted - last : 0;
        last = std::max(last, count.admitted);
        const auto found = m_limits.find(count.id);
        if (found == m_limits.end())
            continue;
        limit_state &state = found->second;
        if (!state.adopted && state.admitted == 0 && m_peerTable.isReachable(peer, now))
            state.bucket.adopt(count.level, m_peerTable.share(now), now);
        else if (wasReachable && sameProcess && !(isFirst && recorded.isOlder))
            state.bucket.spend(static_cast<double>(newlyAdmitted));
        state.adopted = state.adopted || m_peerTable.isReachable(peer, now);
    }
}

template <class Id>
std::vector<admitted_count<Id>> shared_rates<Id>::ownCounts() const
{
    std::vector<admitted_count<Id>> counts;
    for (const auto &[id, state] : m_limits) {
        if (state.admitted > 0)
            counts.push_back({id, state.admitted, state.bucket.level()});
    }
    return counts;
}

template <class Id>
admitted_count<Id> shared_rates<Id>::ownCount(const Id &id) const
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end())
        return {id, 0, 0};
    return {id, found->second.admitted, found->second.bucket.level()};
}

template <class Id>
void shared_rates<Id>::remove(const Id &id)
{
    m_limits.erase(id);
    for (auto &[peer, counts] : m_peers)
        counts.admitted.erase(id);
}

template <class Id>
void shared_rates<Id>::take(const Id &id, time_point now)
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end())
        return;
    if (!found->second.bucket.tryTake(m_peerTable.share(now), now))
        found->second.bucket.spend(1);
    ++found->second.admitted;
}

template <class Id>
double shared_rates<Id>::tokens(const Id &id, time_point now) const
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end() || !found->second.limited)
        return std::numeric_limits<double>::infinity();
    return found->second.bucket.levelAt(m_peerTable.share(now), now);
}

template class shared_rates<customer_id>;
template class shared_rates<upstream_id>;

} // namespace tamarack
