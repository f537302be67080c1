// Thresholds and durations of the quarantine of requests.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Evidence that the quarantine of a request needs, and how long it lasts.
struct request_quarantine_options
{
    unsigned maxCrashes = 3; // of different instances; the request is quarantined then
    // Crashes that quarantine it even if each of them may be the fault of another request.
    unsigned maxExplainedCrashes = 4;
    // Crashes from which on its runs may be put off.
    unsigned minSuspicion = 2;
    // Between a crash and the decision; reports that exonerate the request arrive meanwhile.
    duration settleTime = std::chrono::milliseconds(400);
    // Between a break and the proof by a later run that the instance lives.
    duration livingWindow = std::chrono::seconds(3);
    // While more of a group's upstreams than this share have crashed within downTime, suspected
    // requests are put off.
    double maxDownShare = 0.25;
    duration downTime = std::chrono::seconds(3);
    duration putOffTime = std::chrono::seconds(1); // after which they may come again
    unsigned maxTrials = 3; // runs of a quarantined request
    duration firstLength = std::chrono::seconds(60); // until the first trial
    unsigned lengthFactor = 4; // of the time until the next trial, for each failed one
    duration trialTimeout = std::chrono::seconds(15); // of a trial without a result
    duration recentSuccess = std::chrono::seconds(10); // successes are reported for this time
    duration forgetAfter = std::chrono::hours(1); // without a request or a crash
    std::size_t maxRequests = 4096; // with crashes
    std::size_t maxQuarantined = 1024;
    std::size_t maxSuccesses = 4096; // requests whose last success is kept
};

} // namespace tamarack
