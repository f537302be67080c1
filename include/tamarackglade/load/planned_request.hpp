// A request that is fixed before the run starts.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief When, from whom, to where and what. Indexes refer to the profile's lists.
struct planned_request
{
    duration arrival{}; // after the run's start
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
    std::uint32_t target = 0;
    bool streamed = false;
    bool withinRate = true; // by the customer's rate and burst over the intended arrivals
    std::uint64_t promptSeed = 0; // makes the prompt's own part
};

} // namespace tamarack
