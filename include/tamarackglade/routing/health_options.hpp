// Thresholds and durations of the ejection of failing upstreams.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

struct health_options
{
    int consecutiveFailures = 5;
    double errorRate = 0.5; // threshold of the moving average over attempts
    int minAttempts = 20; // before the error rate is evaluated
    duration firstEjection = std::chrono::seconds(2);
    duration maxEjection = std::chrono::seconds(60);
};

} // namespace tamarack
