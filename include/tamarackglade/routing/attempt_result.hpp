// The outcome of an attempt at an upstream, as routing counts it.
#pragma once

namespace tamarack {

enum class attempt_result {
    Succeeded,
    Failed, // because of the upstream or its side
    Refused, // not started; does not affect the health of the upstream
    Abandoned // cancelled by the caller; does not affect the health of the upstream
};

} // namespace tamarack
