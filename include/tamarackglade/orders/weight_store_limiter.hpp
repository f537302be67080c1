// Spaces out loads from the rate-limited weight store.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @brief Admits loads at a steady rate with a burst, by the generic cell rate algorithm.
/// In any window of length t at most t/interval + burst loads begin.
class weight_store_limiter
{
public:
    /// @param interval between two loads at the steady rate
    /// @param burst loads at once, at least 1
    weight_store_limiter(duration interval, int burst);

    /// @return whether a load may begin now; if so it is counted
    bool tryLoad(time_point now);

    /// @brief Counts a load that is asked for at a time point.
    /// @return when it may begin, at or after that
    time_point reserve(time_point requestedAt);

    /// @brief Changes the rate; loads that were counted stay counted.
    void setRate(duration interval, int burst);

    /// @return when the next load may begin, at or after now
    [[nodiscard]] time_point nextLoad(time_point now) const;

private:
    duration m_interval;
    duration m_tolerance; // how far m_fullBurstAt may lie ahead of a load
    time_point m_fullBurstAt{}; // when the whole burst is available again
};

} // namespace tamarack
