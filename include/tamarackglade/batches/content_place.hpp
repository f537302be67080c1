// Where the body of an item or its output lies in the store.
#pragma once

#include <tamarackglade/store/store_stream.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Records in a row, in one partition of the contents' stream.
struct content_place
{
    std::uint32_t partition = 0;
    stream_position position; // of the first record
    std::uint32_t records = 0; // none for empty content
    std::uint64_t size = 0; // bytes of all records

    friend bool operator==(const content_place &, const content_place &) = default;
    friend bool operator<(const content_place &a, const content_place &b)
    {
        return a.partition != b.partition ? a.partition < b.partition : a.position < b.position;
    }
};

} // namespace tamarack
