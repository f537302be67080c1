// Token arithmetic of the retry budget.
#include <tamarackglade/calls/retry_budget.hpp>

#include <algorithm>

namespace tamarack {

retry_budget::retry_budget(double ratio, double initial, double capacity)
    : m_ratio(ratio), m_capacity(capacity), m_tokens(std::min(initial, capacity))
{
}

void retry_budget::onCall()
{
    m_tokens = std::min(m_tokens + m_ratio, m_capacity);
}

bool retry_budget::tryRetry()
{
    constexpr double RoundingSlack = 1e-9; // ten calls at a ratio of 0.1 have to allow a retry
    if (m_tokens + RoundingSlack < 1)
        return false;
    m_tokens = std::max(m_tokens - 1, 0.0);
    return true;
}

} // namespace tamarack
