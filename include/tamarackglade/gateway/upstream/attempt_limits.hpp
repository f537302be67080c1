// Time limits and conditions of one attempt.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <optional>

namespace tamarack {

/// Whether the upstream has to be at the start that its record names, so that its version is known.
enum class start_check {
    None, // the record is current, or the version doesn't matter
    Wanted, // the request is sent in any case; response_sink::onUnknownStart() tells the result
    Required // the request is sent only if the upstream confirms the start
};

/// @brief Time limits and conditions of one attempt.
struct attempt_limits
{
    time_point deadline; // of the whole request
    // Time without progress after which the sink may abandon the run; zero for never.
    duration silenceTimeout;
    std::optional<duration> firstEventTimeout; // the same, from sending to a stream's first event
    duration maxIdleTime; // a connection that was idle longer is not reused
    start_check startCheck = start_check::None;
};

} // namespace tamarack
