// How a request ended, for the burn report.
#pragma once

#include <cstdint>

namespace tamarack {

enum class burn_result : std::uint8_t {
    Answered,
    Failed, // server-side error; the request may have run
    Refused, // server-side error; the request did not run
    NotCounted // client error, or the caller disconnected
};

} // namespace tamarack
