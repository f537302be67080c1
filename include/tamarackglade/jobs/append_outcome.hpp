// What is known of an append.
#pragma once

#include <cstdint>

namespace tamarack {

enum class append_outcome : std::uint8_t {
    Ok, // the batch is in the log
    Failed, // the batch is not in the log and won't be
    Unknown, // the answer was lost
};

} // namespace tamarack
