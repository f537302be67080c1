// How the rate of arrivals varies over a run.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Shapes of the arrival rate; arrivals are a Poisson process of that rate.
enum class arrival_shape : std::uint8_t {
    Steady, // constant
    Bursty, // a multiple of the rate in bursts, the rate otherwise
    Diurnal, // a sine wave around the rate
};

} // namespace tamarack
