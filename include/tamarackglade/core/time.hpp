// Time as the decisions see it: a monotonic time point that the caller passes in.
#pragma once

#include <chrono>

namespace tamarack {

/// The clock of the decision layer. It has no now(): the shell or a test supplies time points.
struct decision_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name
};

using time_point = decision_clock::time_point;
using duration = decision_clock::duration;

/// @return d in seconds, as a floating-point number
constexpr double toSeconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// @return seconds as a duration, rounded toward zero
constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace tamarack
