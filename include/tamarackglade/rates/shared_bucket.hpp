// Token bucket of one customer, kept in step by the gateways that reach each other.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>

namespace tamarack {

/// @brief Token bucket that several gateways use, each with its own copy.
///
/// Each copy is refilled at the share of the rate that belongs to the reachable gateways, and is
/// reduced by the requests that this gateway and its reachable peers admit. Requests that peers
/// admit between two reports are subtracted later, so the level may become negative.
class shared_bucket
{
public:
    /// Tokens of a new bucket; small enough to stay within the tolerated excess of a limit.
    static constexpr double InitialTokens = 8;

    shared_bucket(double rate, double burst, time_point now)
        : m_rate(rate), m_burst(burst), m_at(now)
    {
    }

    /// @brief Sets rate and burst; reduces the level to the new capacity if it is higher.
    /// @param rate tokens per second of all gateways together
    /// @param burst tokens of all gateways together
    /// @param share from 0 to 1, of the reachable gateways
    void setLimit(double rate, double burst, double share, time_point now)
    {
        refill(share, now);
        m_rate = rate;
        m_burst = burst;
        m_level = std::min(m_level, cap(share));
    }

    /// @brief Removes one token if the level is at least one.
    /// @return whether a token was removed
    bool tryTake(double share, time_point now)
    {
        refill(share, now);
        if (m_level < 1.0)
            return false;
        m_level -= 1.0;
        return true;
    }

    /// @brief Replaces the level by that of a peer whose bucket is older.
    void adopt(double level, double share, time_point now)
    {
        refill(share, now);
        m_level = std::min(level, cap(share));
    }

    /// @brief Subtracts the requests that a reachable peer has admitted.
    void spend(double tokens) { m_level -= tokens; }

    /// @return the time until a token is available; zero if one is available or none is refilled
    [[nodiscard]] duration untilToken(double share) const
    {
        const double perSecond = m_rate * share;
        if (m_level >= 1.0 || perSecond <= 0)
            return duration::zero();
        return fromSeconds((1.0 - m_level) / perSecond);
    }

    /// @return the tokens that the bucket will hold at a time after the last change
    [[nodiscard]] double levelAt(double share, time_point now) const
    {
        const double refilled = now > m_at ? m_rate * share * toSeconds(now - m_at) : 0;
        return std::min(m_level + refilled, cap(share));
    }

    /// @return the tokens in the bucket; negative after late reports of peers
    [[nodiscard]] double level() const { return m_level; }

private:
    // At least one token, so that a small share still admits single requests.
    [[nodiscard]] double cap(double share) const { return std::max(1.0, m_burst * share); }

    void refill(double share, time_point now)
    {
        m_level = levelAt(share, now);
        m_at = std::max(m_at, now);
    }

    double m_rate; // tokens per second of all gateways together
    double m_burst; // tokens of all gateways together
    // Starts nearly empty, as other gateways may have used the burst just before.
    double m_level = std::min(InitialTokens, m_burst);
    time_point m_at; // time of m_level
};

} // namespace tamarack
