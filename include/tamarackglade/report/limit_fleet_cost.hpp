// Result of virtual_limit_fleet.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Cost of a virtual fleet of limiters since the last resetCost.
struct limit_fleet_cost
{
    std::uint64_t messages = 0; // sent by all entries
    std::uint64_t bytes = 0; // of these messages; frames with their length prefix
    std::uint64_t appends = 0;
    std::uint64_t refused = 0; // refused requests
    duration processorTime{}; // of all entries, including the virtual links and frame encoding
};

} // namespace tamarack
