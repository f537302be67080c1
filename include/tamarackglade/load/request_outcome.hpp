// Outcome of one request of a load run.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Kinds of outcomes.
enum class outcome_kind : std::uint8_t {
    Whole, // the expected answer, complete
    Refused, // a 4xx or 503 answer
    Failed, // another error answer, or no connection
    Cut, // the answer was truncated or ended by an error event
    Wrong, // a complete answer that differs from the expected one
    Unfinished, // not answered when the run ended
};

/// @brief Result and latencies of one request.
struct request_outcome
{
    outcome_kind kind = outcome_kind::Unfinished;
    // Unless Whole: HTTP status with error code, transport error, or fault of the answer.
    std::string reason;
    std::optional<duration> firstToken; // from the intended arrival
    duration total{}; // from the intended arrival
    std::vector<duration> gaps; // between tokens
    std::uint32_t tokens = 0; // received
    std::uint32_t expectedTokens = 0;
};

} // namespace tamarack
