// The limit on appends a second over all streams.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>

namespace tamarack::standins {

/// @brief A token bucket that starts full.
class append_limiter
{
public:
    append_limiter(double ratePerSecond, double burst)
        : m_rate(ratePerSecond), m_burst(burst), m_level(burst)
    {
    }

    /// @return whether an append may be made now
    bool admit(time_point now)
    {
        m_level = std::min(m_burst, m_level + m_rate * toSeconds(now - m_updated));
        m_updated = now;
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    double m_rate; // appends per second
    double m_burst; // appends
    double m_level; // appends, 0 .. m_burst
    time_point m_updated{};
};

} // namespace tamarack::standins
