// The outcome of an append, as far as the caller can determine it.
#pragma once

#include <cstdint>

namespace tamarack {

enum class append_outcome : std::uint8_t {
    Ok, // the batch is in the log
    Failed, // the batch is not in the log and won't get there later
    Unknown, // no reply arrived; the batch may be in the log or still get there
};

} // namespace tamarack
