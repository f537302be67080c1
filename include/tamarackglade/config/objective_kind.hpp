// What a service-level objective measures.
#pragma once

#include <cstdint>

namespace tamarack {

enum class objective_kind : std::uint8_t {
    Availability, // requests answered without an error of ours
    FirstToken, // time to first token within the threshold
    TokenGap, // time between tokens within the threshold
    BatchDue, // jobs complete within their window
    Refusals // requests within the customer's rate that are not refused
};

} // namespace tamarack
