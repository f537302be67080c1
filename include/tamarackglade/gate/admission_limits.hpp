// Limits of an admission queue.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

struct admission_limits
{
    std::size_t maxQueued = 256;
    // Estimated time between two pops, until it is observed.
    duration initialServiceInterval = std::chrono::milliseconds(10);
    duration minRetryAfter = std::chrono::milliseconds(100);
    duration maxRetryAfter = std::chrono::seconds(30);
};

} // namespace tamarack
