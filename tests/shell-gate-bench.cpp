// Compares the gate with running without a gate in virtual time and prints the results.
#include <tamarackglade/load/gate_bench.hpp>

#include <doctest/doctest.h>

#include <cstdio>

using namespace tamarack;

namespace {

constexpr int Seeds = 5;

gate_bench_result runAndPrint(const char *name, gate_bench_options options, std::uint64_t seed)
{
    options.seed = seed;
    const auto result = runGateBench(options);
    std::printf("%-14s seed %d batch %7.1f tok/s online %6.1f tok/s gap p50 %5.1f p95 %5.1f p99 "
                "%5.1f ms first p50 %6.1f p95 %6.1f p99 %6.1f ms unfinished %zu of %zu\n",
                name, static_cast<int>(seed), result.batchTokensPerSecond,
                result.onlineTokensPerSecond, result.gapP50 * 1e3, result.gapP95 * 1e3,
                result.gapP99 * 1e3, result.firstTokenP50 * 1e3, result.firstTokenP95 * 1e3,
                result.firstTokenP99 * 1e3, result.onlineUnfinished, result.onlineCalls);
    return result;
}

gate_bench_options optionsOf(gate_policy policy, double protection = 0)
{
    gate_bench_options options;
    options.policy = policy;
    options.onlineProtection = protection;
    return options;
}

} // namespace

TEST_CASE("gate benchmark: online latencies stay within their targets under batch load")
{
    constexpr double GapTarget = 0.076;
    constexpr double FirstTokenTarget = 0.36;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto alone = runAndPrint("online alone", optionsOf(gate_policy::OnlineOnly), seed);
        const auto batch = runAndPrint("batch alone", optionsOf(gate_policy::BatchOnly), seed);
        const auto ungated = runAndPrint("no gate", optionsOf(gate_policy::NoGate), seed);
        const auto open = runAndPrint("gate p=0", optionsOf(gate_policy::Gate, 0), seed);
        const auto half = runAndPrint("gate p=0.5", optionsOf(gate_policy::Gate, 0.5), seed);
        const auto full = runAndPrint("gate p=1", optionsOf(gate_policy::Gate, 1), seed);
        const auto spareTokens = batch.batchTokensPerSecond - alone.onlineTokensPerSecond;
        std::printf(
            "batch of spare: p=0 %.3f p=0.5 %.3f p=1 %.3f; gap p99 over alone: none %.2f "
            "p=0 %.2f p=0.5 %.2f p=1 %.2f\n",
            open.batchTokensPerSecond / spareTokens, half.batchTokensPerSecond / spareTokens,
            full.batchTokensPerSecond / spareTokens, ungated.gapP99 / alone.gapP99,
            open.gapP99 / alone.gapP99, half.gapP99 / alone.gapP99, full.gapP99 / alone.gapP99);
        for (const auto &gated : {open, half, full}) {
            CHECK(gated.gapP95 <= GapTarget);
            CHECK(gated.firstTokenP95 <= FirstTokenTarget);
        }
        // Without the gate, the same bound is exceeded.
        CHECK(ungated.gapP95 > GapTarget);
    }
}
