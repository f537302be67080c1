// Benchmark of routing strategies in virtual time, with load reports of different age.
#pragma once

#include <tamarackglade/load/routing_bench_options.hpp>
#include <tamarackglade/load/routing_bench_result.hpp>

namespace tamarack {

/// @brief Routes Poisson arrivals with shared prompt prefixes to engine models.
/// The same seed gives the same arrivals under every strategy.
routing_bench_result runRoutingBench(const routing_bench_options &options);

} // namespace tamarack
