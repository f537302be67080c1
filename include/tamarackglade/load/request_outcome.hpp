// How one request of a load run ended.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Kinds of ends.
enum class outcome_kind : std::uint8_t {
    Whole, // the expected answer, complete
    Refused, // a 4xx or 503 answer
    Failed, // another error answer, or no connection
    Cut, // the answer broke off, or an error event ended it
    Wrong, // a complete answer that isn't the expected one
    Unfinished, // not answered when the run ended
};

/// @brief What was seen of one request.
struct request_outcome
{
    outcome_kind kind = outcome_kind::Unfinished;
    std::string reason; // of what isn't Whole: "status code" or the transport's error
    std::optional<duration> firstToken; // from the intended arrival
    duration total{}; // from the intended arrival
    std::vector<duration> gaps; // between tokens
    std::uint32_t tokens = 0; // received
    std::uint32_t expectedTokens = 0;
};

} // namespace tamarack
