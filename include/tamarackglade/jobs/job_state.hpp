// The states of a batch job in the API.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// @brief The states of OpenAI's batch object. The fold yields only InProgress, Completed and
/// Cancelled; an entry derives the others from its own state, such as an append in progress.
enum class job_state : std::uint8_t {
    Validating,
    InProgress,
    Finalizing,
    Completed,
    Cancelling,
    Cancelled,
    Expired,
};

/// @return the state's name in the API, such as "in_progress"
std::string_view jobStateName(job_state state);

} // namespace tamarack
