// The states of a batch job, as callers see them.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// @brief The states of OpenAI's batch object. The fold itself shows only InProgress, Completed
/// and Cancelled; the rest are for what an entry knows beyond it (an append that is under way).
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
