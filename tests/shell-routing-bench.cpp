// Compares routing strategies in virtual time and prints the results.
#include <tamarackglade/load/routing_bench.hpp>

#include <doctest/doctest.h>

#include <cstdio>
#include <map>

using namespace tamarack;

namespace {

constexpr int Seeds = 5;

struct named_strategy
{
    routing_strategy_kind kind;
    const char *name;
};

constexpr named_strategy Strategies[] = {
    {routing_strategy_kind::Random, "random"},
    {routing_strategy_kind::RoundRobin, "round robin"},
    {routing_strategy_kind::LeastReported, "least reported"},
    {routing_strategy_kind::TwoChoices, "two choices"},
    {routing_strategy_kind::PrefixBounded, "prefix bounded"},
};

// Returns the means over all seeds.
routing_bench_result measure(const named_strategy &strategy, int ageSeconds)
{
    routing_bench_result mean;
    double maxP99 = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        routing_bench_options options;
        options.strategy = strategy.kind;
        options.reportAge = std::chrono::seconds(ageSeconds);
        options.seed = seed;
        const auto result = runRoutingBench(options);
        mean.hitRate += result.hitRate / Seeds;
        mean.firstTokenP50 += result.firstTokenP50 / Seeds;
        mean.firstTokenP95 += result.firstTokenP95 / Seeds;
        mean.firstTokenP99 += result.firstTokenP99 / Seeds;
        maxP99 = std::max(maxP99, result.firstTokenP99);
    }
    std::printf("%-14s reports %d s late: hits %.3f first token p50 %6.1f p95 %6.1f p99 %6.1f ms "
                "(worst seed's p99 %6.1f)\n",
                strategy.name, ageSeconds, mean.hitRate, mean.firstTokenP50 * 1e3,
                mean.firstTokenP95 * 1e3, mean.firstTokenP99 * 1e3, maxP99 * 1e3);
    return mean;
}

} // namespace

TEST_CASE(
    "routing benchmark: PrefixBounded has the best hit rate and p95 at any age of load reports")
{
    for (const int age : {0, 1, 5}) {
        std::map<routing_strategy_kind, routing_bench_result> results;
        for (const auto &strategy : Strategies)
            results[strategy.kind] = measure(strategy, age);
        const auto &prefixBounded = results[routing_strategy_kind::PrefixBounded];
        for (const auto &[kind, other] : results) {
            if (kind == routing_strategy_kind::PrefixBounded)
                continue;
            CHECK(prefixBounded.hitRate > other.hitRate);
            CHECK(prefixBounded.firstTokenP95 < other.firstTokenP95);
        }
    }
}
