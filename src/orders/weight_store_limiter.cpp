// The generic cell rate algorithm.
#include <tamarackglade/orders/weight_store_limiter.hpp>

#include <algorithm>

namespace tamarack {

weight_store_limiter::weight_store_limiter(duration interval, int burst)
    : m_interval(interval), m_tolerance(interval * (burst - 1))
{
}

bool weight_store_limiter::tryLoad(time_point now)
{
    if (nextLoad(now) > now)
        return false;
    m_fullBurstAt = std::max(m_fullBurstAt, now) + m_interval;
    return true;
}

time_point weight_store_limiter::reserve(time_point requestedAt)
{
    const time_point begin = nextLoad(requestedAt);
    m_fullBurstAt = std::max(m_fullBurstAt, begin) + m_interval;
    return begin;
}

void weight_store_limiter::setRate(duration interval, int burst)
{
    m_interval = interval;
    m_tolerance = interval * (burst - 1);
}

time_point weight_store_limiter::nextLoad(time_point now) const
{
    return std::max(now, m_fullBurstAt - m_tolerance);
}

} // namespace tamarack
