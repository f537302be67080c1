// One customer's token bucket, kept alike by all gateways that hear each other.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>

namespace tamarack {

/// @brief A bucket that several gateways draw from. Each refills the share of the rate that belongs
/// to the reachable gateways, and takes off what it and they have admitted. What gateways admit
/// between two reports shows later as debt.
class shared_bucket
{
public:
    /// Tokens of a new bucket; well within what a limit tolerates for a while.
    static constexpr double InitialTokens = 8;

    shared_bucket(double rate, double burst, time_point now)
        : m_rate(rate), m_burst(burst), m_at(now)
    {
    }

    /// @brief Changes rate and burst; a level above the new burst is lowered.
    void setLimit(double rate, double burst, double share, time_point now)
    {
        refill(share, now);
        m_rate = rate;
        m_burst = burst;
        m_level = std::min(m_level, cap(share));
    }

    /// @brief Takes one token if there is one.
    bool tryTake(double share, time_point now)
    {
        refill(share, now);
        if (m_level < 1.0)
            return false;
        m_level -= 1.0;
        return true;
    }

    /// @brief Takes over the level of a peer that has been reachable by others for longer.
    void adopt(double level, double share, time_point now)
    {
        refill(share, now);
        m_level = std::min(level, cap(share));
    }

    /// @brief Takes off what a reachable peer has admitted.
    void spend(double tokens) { m_level -= tokens; }

    /// @return the time until a token is there; zero if one is
    [[nodiscard]] duration untilToken(double share) const
    {
        const double perSecond = m_rate * share;
        if (m_level >= 1.0 || perSecond <= 0)
            return duration::zero();
        return fromSeconds((1.0 - m_level) / perSecond);
    }

    [[nodiscard]] double level() const { return m_level; }

private:
    // At least one token, so that a small share lets something through.
    [[nodiscard]] double cap(double share) const { return std::max(1.0, m_burst * share); }

    void refill(double share, time_point now)
    {
        if (now > m_at)
            m_level += m_rate * share * toSeconds(now - m_at);
        m_at = std::max(m_at, now);
        m_level = std::min(m_level, cap(share));
    }

    double m_rate; // tokens a second, of all gateways together
    double m_burst; // tokens, of all gateways together
    // Begins nearly empty: others may have spent the burst just before.
    double m_level = std::min(InitialTokens, m_burst);
    time_point m_at; // of m_level
};

} // namespace tamarack
