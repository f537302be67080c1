// Options of one run of the routing benchmark.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/routing_strategy_kind.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

struct routing_bench_options
{
    routing_strategy_kind strategy = routing_strategy_kind::PrefixBounded;
    duration reportAge = std::chrono::seconds(0); // age of load reports when routers receive them
    std::uint64_t seed = 1;
    std::size_t engines = 12;
    std::size_t entries = 3;
    std::size_t prefixes = 240; // shared prompt prefixes, used equally often
    double callsPerSecond = 60;
    std::uint32_t answerTokens = 80;
    std::uint64_t cacheBlocks = 4'000; // of each engine's prefix cache
    duration length = std::chrono::seconds(120);
    duration warmUp = std::chrono::seconds(30);
};

} // namespace tamarack
