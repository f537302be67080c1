// Benchmark of the gate: the effect of batch load on online calls at one engine, in virtual time.
#pragma once

#include <tamarackglade/load/gate_bench_options.hpp>
#include <tamarackglade/load/gate_bench_result.hpp>

namespace tamarack {

/// @brief Runs bursty online calls and an unlimited supply of batch calls against an engine model.
/// The same seed gives the same online arrivals under every policy.
gate_bench_result runGateBench(const gate_bench_options &options);

} // namespace tamarack
