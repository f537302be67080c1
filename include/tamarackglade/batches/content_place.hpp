// Location of an item's content or output in the store.
#pragma once

#include <tamarackglade/store/store_stream.hpp>

#include <cstdint>
#include <tuple>

namespace tamarack {

/// @brief A range of consecutive records in one partition of the stream of contents.
///
/// The place of an empty content has no records; its partition and position name nothing, and may
/// be those of another content.
struct content_place
{
    std::uint32_t partition = 0;
    stream_position position; // of the first record
    std::uint32_t records = 0;
    std::uint64_t size = 0; // total bytes of the records

    [[nodiscard]] bool isEmpty() const { return records == 0; }

    friend bool operator==(const content_place &, const content_place &) = default;
    friend bool operator<(const content_place &a, const content_place &b)
    {
        return std::tie(a.partition, a.position, a.records, a.size)
               < std::tie(b.partition, b.position, b.records, b.size);
    }
};

} // namespace tamarack
