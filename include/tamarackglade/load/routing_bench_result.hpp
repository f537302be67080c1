// Result of one run of the routing benchmark.
#pragma once

namespace tamarack {

struct routing_bench_result
{
    double hitRate = 0; // share of prompt tokens found in prefix caches, 0 to 1
    double firstTokenP50 = 0; // seconds
    double firstTokenP95 = 0;
    double firstTokenP99 = 0;
};

} // namespace tamarack
