// The outcome of an attempt to run a batch item.
#pragma once

#include <cstdint>

namespace tamarack {

enum class attempt_outcome : std::uint8_t {
    Succeeded, // the data is the response
    Rejected, // the upstream rejected the item permanently; the data is the error
    Transient, // the attempt ran and failed; a retry may succeed
    NotStarted, // the upstream is known not to have received the item
    WorkerLost, // the engine or side process ended while the item was running
    Cancelled,
};

} // namespace tamarack
