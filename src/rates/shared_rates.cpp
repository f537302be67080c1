// Admits requests by token buckets that are shared with the reachable gateways.
#include <tamarackglade/rates/shared_rates.hpp>

namespace tamarack {

void shared_rates::setLimit(const customer_id &customer, double rate, double burst, time_point now)
{
    auto &state = m_customers.try_emplace(customer, customer_state{shared_bucket(rate, burst, now)})
                      .first->second;
    state.limited = rate > 0;
    state.bucket.setLimit(rate, burst, m_peerTable.share(now), now);
}

std::optional<duration> shared_rates::admit(const customer_id &customer, time_point now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return std::nullopt;
    customer_state &state = found->second;
    const double share = m_peerTable.share(now);
    if (state.limited && !state.bucket.tryTake(share, now))
        return state.bucket.untilToken(share);
    ++state.admitted;
    return std::nullopt;
}

void shared_rates::onPeerCounts(const vm_id &peer, incarnation_number incarnation,
                                const std::vector<admitted_count> &counts, bool wasReachable,
                                time_point now)
{
    peer_counts &recorded = m_peers[peer];
    const bool sameProcess = recorded.incarnation == incarnation;
    if (!sameProcess)
        recorded = peer_counts{incarnation, {}};
    for (const admitted_count &count : counts) {
        auto &last = recorded.admitted[count.customer];
        const std::uint64_t newlyAdmitted = count.admitted > last ? count.admitted - last : 0;
        last = std::max(last, count.admitted);
        const auto found = m_customers.find(count.customer);
        if (found == m_customers.end())
            continue;
        customer_state &state = found->second;
        if (!state.adopted && state.admitted == 0 && m_peerTable.isReachable(peer, now))
            state.bucket.adopt(count.level, m_peerTable.share(now), now);
        else if (wasReachable && sameProcess)
            state.bucket.spend(static_cast<double>(newlyAdmitted));
        state.adopted = state.adopted || m_peerTable.isReachable(peer, now);
    }
}

std::vector<admitted_count> shared_rates::ownCounts() const
{
    std::vector<admitted_count> counts;
    for (const auto &[customer, state] : m_customers) {
        if (state.admitted > 0)
            counts.push_back({customer, state.admitted, state.bucket.level()});
    }
    return counts;
}

} // namespace tamarack
