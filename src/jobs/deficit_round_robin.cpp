// Deficit round robin over customers.
#include <tamarackglade/jobs/deficit_round_robin.hpp>

#include <algorithm>

namespace tamarack {

void deficit_round_robin::set(const customer_id &customer, std::uint32_t weight)
{
    const auto [found, isNew] = m_turns.try_emplace(customer);
    found->second.weight = std::max(weight, 1U);
    if (isNew)
        m_ring.push_back(customer);
}

void deficit_round_robin::remove(const customer_id &customer)
{
    if (m_turns.erase(customer) > 0)
        m_ring.remove(customer);
}

bool deficit_round_robin::contains(const customer_id &customer) const
{
    return m_turns.contains(customer);
}

std::optional<customer_id>
deficit_round_robin::next(const std::function<bool(const customer_id &)> &take)
{
    for (std::size_t tried = 0; tried < m_ring.size(); ++tried) {
        const auto customer = m_ring.front();
        auto &turn = m_turns.at(customer);
        if (turn.remaining == 0)
            turn.remaining = turn.weight;
        const bool took = take(customer);
        turn.remaining = took ? turn.remaining - 1 : 0;
        if (turn.remaining == 0)
            m_ring.splice(m_ring.end(), m_ring, m_ring.begin());
        if (took)
            return customer;
    }
    return std::nullopt;
}

} // namespace tamarack
