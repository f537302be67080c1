// A rate limiter for loads, since the weight store has a limited rate.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @brief Limits loads to a steady rate with a burst, using the generic cell rate algorithm.
/// In any window of length t, at most t/interval + burst loads begin.
class weight_store_limiter
{
public:
    /// @param interval time between two loads at the steady rate
    /// @param burst maximum number of loads at once, at least 1
    weight_store_limiter(duration interval, int burst);

    /// @brief Counts a load if it may begin now.
    /// @return whether it may
    bool tryLoad(time_point now);

    /// @brief Counts a load requested at a time point.
    /// @return when it may begin, not before requestedAt
    time_point reserve(time_point requestedAt);

    /// @brief Changes the rate. Loads counted before remain counted.
    void setRate(duration interval, int burst);

    /// @return when the next load may begin, not before now
    [[nodiscard]] time_point nextLoad(time_point now) const;

private:
    duration m_interval;
    duration m_tolerance; // how far m_fullBurstAt may be ahead of the start of a load
    time_point m_fullBurstAt{}; // when the full burst is available again
};

} // namespace tamarack
