// How a request ended, as the burn report sees it.
#pragma once

#include <cstdint>

namespace tamarack {

enum class burn_result : std::uint8_t {
    Answered,
    Failed, // an error of ours after the request may have run
    Refused, // an error of ours before it ran
    NotCounted // the caller's own fault, or the caller left
};

} // namespace tamarack
