// The oracle of the rate limits: exact window bounds in true time, and an ideal bucket.
#pragma once

#include <tamarackglade/limits/customer_rate.hpp>

#include <algorithm>
#include <cstdint>

namespace tamarack::test {

/// @brief Checks one customer's admissions against rate and burst, which may change.
/// An admission at t is within every window's bound (admitted in (s, t] <= the integral of the rate
/// over (s, t] + the burst at s, for all s) exactly when a bucket that was never refused has a
/// token left. Integer arithmetic: tokens count in units of 1e-9, time in nanoseconds.
class limits_oracle
{
public:
    static constexpr std::int64_t Token = 1'000'000'000;

    /// @brief Sets the bound's rate and burst from a true time on.
    void setBound(std::int64_t perSecond, std::int64_t burst, std::int64_t nowNs)
    {
        advance(nowNs);
        if (!m_started)
            m_level = burst * Token;
        m_started = true;
        m_perSecond = perSecond;
        m_burst = burst;
        m_level = std::min(m_level, burst * Token);
    }

    /// @param tokens cost of the admission
    /// @return whether the admission is within every window's bound
    bool admit(std::int64_t nowNs, std::int64_t tokens = 1)
    {
        advance(nowNs);
        if (m_level < tokens * Token)
            return false;
        m_level -= tokens * Token;
        return true;
    }

    /// @return whether admit would succeed
    [[nodiscard]] bool wouldAdmit(std::int64_t nowNs)
    {
        advance(nowNs);
        return m_level >= Token;
    }

private:
    void advance(std::int64_t nowNs)
    {
        const std::int64_t gained = (nowNs - m_now) * m_perSecond;
        m_level = std::min(m_level + gained, m_burst * Token);
        m_now = nowNs;
    }

    bool m_started = false;
    std::int64_t m_perSecond = 0;
    std::int64_t m_burst = 0;
    std::int64_t m_level = 0;
    std::int64_t m_now = 0;
};

} // namespace tamarack::test
