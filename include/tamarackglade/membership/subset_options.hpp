// How many side processes an entry connects to.
#pragma once

#include <cstddef>

namespace tamarack {

struct subset_options
{
    std::size_t perGroup = 16; // of each upstream group; all of a smaller group
    std::size_t sameZone = 8; // of these, at most so many are picked from the own zone first
};

} // namespace tamarack
