// Options of the call tracker.
#pragma once

#include <tamarackglade/calls/call_mutation.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Limits and timeouts of retries.
struct tracker_options
{
    double retryRatio = 0.1; // retries per call
    double retryInitial = 3;
    double retryCapacity = 100;
    std::size_t maxAttempts = 4; // per call
    duration proofTimeout = std::chrono::seconds(2); // for a lost side process to answer
    duration defaultRetryAfter = std::chrono::seconds(1);
    call_mutation mutation = call_mutation::None;
};

} // namespace tamarack
