// Size limits of the store.
#pragma once

#include <cstddef>

namespace tamarack {

/// @brief Maximum sizes of records and appends, without the store's own framing.
struct store_limits
{
    std::size_t maxRecordBytes = 240 * 1024;
    std::size_t maxAppendBytes = 1'900 * 1024; // all records of one append
};

} // namespace tamarack
