// What a virtual fleet of limiters spent in a span of time.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

struct limit_fleet_cost
{
    std::uint64_t messages = 0; // sent, over all entries
    std::uint64_t bytes = 0; // of these messages, as frames with their length
    std::uint64_t appends = 0;
    std::uint64_t refused = 0; // requests
    duration processorTime{}; // of all entries, with the virtual links' and the frames' encoding
};

} // namespace tamarack
