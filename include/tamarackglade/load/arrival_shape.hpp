// Shapes of the arrival rate over a load run.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Shapes of the arrival rate; arrivals are a Poisson process of that rate.
enum class arrival_shape : std::uint8_t {
    Steady, // constant
    Bursty, // a multiple of the rate during bursts, the rate otherwise
    Diurnal, // a sine wave around the rate
};

} // namespace tamarack
