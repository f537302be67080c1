// Result of one run of the gate benchmark.
#pragma once

#include <cstddef>

namespace tamarack {

struct gate_bench_result
{
    double batchTokensPerSecond = 0;
    double onlineTokensPerSecond = 0;
    double gapP50 = 0; // seconds between the tokens of online answers
    double gapP95 = 0;
    double gapP99 = 0;
    double firstTokenP50 = 0; // seconds from the arrival of online calls
    double firstTokenP95 = 0;
    double firstTokenP99 = 0;
    std::size_t onlineCalls = 0;
    std::size_t onlineUnfinished = 0; // refused, or not completely answered at the end of the run
};

} // namespace tamarack
