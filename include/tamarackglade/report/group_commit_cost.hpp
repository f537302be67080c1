// Result of measureCommit.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief Appends of a partition owner that commits item results in groups.
struct group_commit_cost
{
    std::uint32_t itemsPerSecond = 0; // input of the measurement
    double appendsPerSecond = 0;
    double largestBatchItems = 0;
};

} // namespace tamarack
