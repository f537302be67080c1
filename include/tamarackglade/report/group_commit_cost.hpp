// One row of the measurement of group commit.
#pragma once

#include <cstdint>

namespace tamarack {

struct group_commit_cost
{
    std::uint32_t itemsPerSecond = 0;
    double appendsPerSecond = 0;
    double largestBatchItems = 0;
};

} // namespace tamarack
