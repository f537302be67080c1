// How many side processes an entry connects to.
#pragma once

#include <cstddef>

namespace tamarack {

/// @brief Sizes of the subset of sides of each group.
struct subset_options
{
    std::size_t perGroup = 16; // sides of each upstream group; all of a smaller group
    std::size_t sameZone = 8; // maximum of these that are selected first from the entry's own zone
};

} // namespace tamarack
