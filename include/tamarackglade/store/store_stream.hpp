// Names of streams in the platform's store and positions in them.
#pragma once

#include <tamarackglade/core/strong_id.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// Name of a stream. A keyed stream keeps the newest record of each key without a time limit.
using stream_name = strong_id<struct stream_name_tag, std::string>;
/// Position in one partition of a stream; the first record has position 0.
using stream_position = strong_id<struct stream_position_tag, std::uint64_t>;

/// @brief Name of a partition of a stream.
struct stream_partition
{
    stream_name stream;
    std::uint32_t partition = 0;

    friend bool operator==(const stream_partition &, const stream_partition &) = default;
};

} // namespace tamarack
