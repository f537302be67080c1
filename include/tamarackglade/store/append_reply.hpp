// Result of an append to the store.
#pragma once

#include <tamarackglade/store/store_stream.hpp>

namespace tamarack {

/// @brief Outcome of an append, as far as it is known.
enum class append_result {
    Appended,
    Conflict, // the partition didn't end at expectedEnd; the append has no effect
    Refused, // the store refused the append; it has no effect
    NotSent, // no byte reached the store; the append has no effect
    Unknown // the append may have taken effect or may take effect later
};

/// @brief Result of an append. position is valid if Appended, end if Appended or Conflict.
struct append_reply
{
    append_result result = append_result::Unknown;
    stream_position position; // of the first record
    stream_position end; // of the partition
};

} // namespace tamarack
