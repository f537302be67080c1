// Location of an item's content or output in the store.
#pragma once

#include <tamarackglade/store/store_stream.hpp>

#include <cstdint>

namespace tamarack {

/// @brief A range of consecutive records in one partition of the stream of contents.
struct content_place
{
    std::uint32_t partition = 0;
    stream_position position; // of the first record
    std::uint32_t records = 0; // 0 for empty content
    std::uint64_t size = 0; // total bytes of the records

    friend bool operator==(const content_place &, const content_place &) = default;
    friend bool operator<(const content_place &a, const content_place &b)
    {
        return a.partition != b.partition ? a.partition < b.partition : a.position < b.position;
    }
};

} // namespace tamarack
