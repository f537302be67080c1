// Ages in messages between gateways, whose clocks differ.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace tamarack {

/// @return the milliseconds from one time to a later one; 0 if it is earlier
inline std::uint64_t millisBetween(time_point from, time_point to)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count()));
}

/// @return the duration of an age in a message, at most a day
inline duration durationOf(std::uint64_t millis)
{
    constexpr std::uint64_t MaxMillis = std::chrono::milliseconds(std::chrono::hours(24)).count();
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min<std::uint64_t>(millis, MaxMillis)));
}

} // namespace tamarack
