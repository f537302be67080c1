// The state of an Idempotency-Key.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The call that holds an Idempotency-Key, as folded from the log.
struct keyed_call_state
{
    std::string callId; // of the call that holds the key
    std::uint64_t requestDigest = 0;
    log_offset startedOffset;
    bool finished = false;
    // The members below are valid only if finished is true. A status of 0 means that the answer was
    // not kept.
    log_offset finishedOffset;
    std::uint16_t status = 0;
    std::string contentType;
    std::vector<std::uint8_t> body;
};

} // namespace tamarack
