// What the store takes in one call.
#pragma once

#include <cstddef>

namespace tamarack {

/// @brief Sizes in bytes, without the store's own framing.
struct store_limits
{
    std::size_t maxRecordBytes = 240 * 1024;
    std::size_t maxAppendBytes = 1'900 * 1024; // all records of one call
};

} // namespace tamarack
