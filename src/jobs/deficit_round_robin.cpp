// Deficit round robin.
#include <tamarackglade/jobs/deficit_round_robin.hpp>

#include <algorithm>

namespace tamarack {

void deficit_round_robin::set(const customer_id &customer, std::uint32_t weight)
{
    const auto [found, isNew] = m_shares.try_emplace(customer);
    found->second.weight = std::max(weight, 1U);
    if (isNew)
        m_ring.push_back(customer);
}

void deficit_round_robin::remove(const customer_id &customer)
{
    if (m_shares.erase(customer) > 0)
        m_ring.remove(customer);
}

bool deficit_round_robin::contains(const customer_id &customer) const
{
    return m_shares.contains(customer);
}

std::optional<customer_id>
deficit_round_robin::next(const std::function<bool(const customer_id &)> &take)
{
    for (std::size_t tried = 0; tried < m_ring.size(); ++tried) {
        const auto customer = m_ring.front();
        auto &turn = m_shares.at(customer);
        if (turn.left == 0)
            turn.left = turn.weight;
        const bool took = take(customer);
        turn.left = took ? turn.left - 1 : 0;
        if (turn.left == 0)
            m_ring.splice(m_ring.end(), m_ring, m_ring.begin());
        if (took)
            return customer;
    }
    return std::nullopt;
}

} // namespace tamarack
