// Thresholds and durations of the quarantine of prompt parts.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Evidence that a quarantine needs, and how long it lasts.
struct quarantine_options
{
    unsigned minCrashes = 3; // successive crashes with a part before it is quarantined
    unsigned minRequests = 2; // requests that these crashes belong to
    unsigned minCrashesOfOne = 5; // in place of both, as a batch item may be the only request
    // Crashes that a part needs beyond those with any part that comes later in the prompt.
    unsigned minOwnCrashes = 2;
    // Accepted probability that the crashes of a quarantined part have another cause.
    double maxChance = 1e-5;
    duration evidenceLifetime = std::chrono::seconds(30); // age at which a break is dropped
    // A part with a success younger than this is quarantined only for crashes that no other
    // quarantined part explains.
    duration recentSuccess = std::chrono::seconds(10);
    duration rateWindow = std::chrono::seconds(10); // over which runs are counted for maxChance
    // Between a break and its evaluation; peers report successes of the same parts meanwhile.
    duration settleTime = std::chrono::milliseconds(400);
    // Between a break and the proof by a later run that it was no crash.
    duration livingWindow = std::chrono::seconds(3);
    duration clockMargin = std::chrono::milliseconds(50); // of times that gateways report as ages
    duration firstLength = std::chrono::seconds(30); // until the first trial request
    unsigned lengthFactor = 4; // multiplies the length after each crash of a trial request
    duration maxLength = std::chrono::hours(1);
    duration trialTimeout = std::chrono::seconds(15); // of a trial request without a result
    duration forgetAfter = std::chrono::minutes(10); // released and unused entries are dropped
    std::size_t maxBreaks = 512;
    std::size_t maxParts = 64; // quarantined at the same time
    std::size_t maxSuccesses = 4096; // parts whose last success is kept
    std::size_t maxInstances = 4096; // whose last served run is kept
};

} // namespace tamarack
