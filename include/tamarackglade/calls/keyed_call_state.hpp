// What the log says of one Idempotency-Key.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tamarack {

struct keyed_call_state
{
    std::string callId; // of the call that holds the key
    std::uint64_t requestDigest = 0;
    log_offset startedAt;
    bool finished = false;
    // Meaningful if finished. A status of 0 means that the answer was not kept.
    log_offset finishedAt;
    std::uint16_t status = 0;
    std::string contentType;
    std::vector<std::uint8_t> body;
};

} // namespace tamarack
