// Measures in virtual time what batch does to online calls at one engine.
#pragma once

#include <tamarackglade/load/gate_bench_options.hpp>
#include <tamarackglade/load/gate_bench_result.hpp>

namespace tamarack {

/// @brief Runs bursty online calls and an endless supply of batch against a modelled engine.
/// The same seed gives the same online arrivals under every policy.
gate_bench_result runGateBench(const gate_bench_options &options);

} // namespace tamarack
