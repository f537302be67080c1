// The shell's clock: the machine's monotonic clock as the decisions' time points.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @return the monotonic time of this machine
time_point steadyNow();

/// @return seconds since 1970 by the machine's wall clock, for stamps that people read
std::uint64_t wallSeconds();

/// @return microseconds since 1970, used as a process's incarnation
std::uint64_t wallMicros();

} // namespace tamarack
