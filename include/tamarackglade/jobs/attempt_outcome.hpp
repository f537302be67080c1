// How an attempt at an item ended.
#pragma once

#include <cstdint>

namespace tamarack {

enum class attempt_outcome : std::uint8_t {
    Succeeded, // the data is the answer
    Rejected, // the upstream refuses this item for good; the data says why
    Transient, // it started and failed; another try may succeed
    NotStarted, // proved: the upstream never saw it
    WorkerLost, // the engine or side died with the item in flight
    Cancelled,
};

} // namespace tamarack
