// A request of a load run, planned before the run starts.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Arrival, customer, class, target and prompt of a request. Indexes refer to the lists of
/// the profile.
struct planned_request
{
    duration arrival{}; // after the run's start
    std::uint32_t customer = 0;
    std::uint32_t requestClass = 0;
    std::uint32_t target = 0;
    bool streamed = false;
    bool withinRate = true; // whether the customer's rate and burst admit it, by planned arrivals
    std::uint64_t promptSeed = 0; // seed of the part of the prompt that is not shared
};

} // namespace tamarack
