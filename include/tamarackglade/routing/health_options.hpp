// When a failing upstream is ejected, and for how long.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

struct health_options
{
    int consecutiveFailures = 5;
    double errorRate = 0.5; // moving average over attempts
    int minAttempts = 20; // before the error rate counts
    duration firstEjection = std::chrono::seconds(2);
    duration maxEjection = std::chrono::seconds(60);
};

} // namespace tamarack
