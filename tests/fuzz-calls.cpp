// Random runs of entries and sides with faults, which check the guarantees on calls.
#include "support/calls_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

using namespace tamarack;
using namespace tamarack::test;

namespace {

using kind = calls_command::kind;

constexpr int Kinds = static_cast<int>(kind::Last);

/// Maps a number to a kind; at least half of the commands send a call or advance the time.
kind kindOf(std::uint32_t number)
{
    constexpr kind Frequent[] = {kind::SendOnline, kind::SendOnce, kind::SendKeyed,
                                 kind::SendBatch,  kind::Advance,  kind::Advance};
    if (number % 2 == 0)
        return Frequent[(number / 2) % std::size(Frequent)];
    return static_cast<kind>((number / 2) % Kinds);
}

std::vector<calls_command> randomCommands(std::uint32_t seed, std::size_t count)
{
    std::mt19937 random(seed);
    std::vector<calls_command> commands(count);
    for (auto &command : commands)
        command = {kindOf(random()), static_cast<std::uint32_t>(random()),
                   static_cast<std::uint32_t>(random())};
    return commands;
}

struct run_result
{
    std::string violation; // the first one, or empty
    std::size_t requests = 0;
    std::size_t completed = 0;
};

run_result runAll(const simulation_options &options, const std::vector<calls_command> &commands)
{
    calls_simulation simulation(options);
    for (const auto &command : commands)
        simulation.run(command);
    simulation.settle();
    const auto &violations = simulation.violations();
    return {violations.empty() ? "" : violations.front(), simulation.requests(),
            simulation.completed()};
}

/// @return the first seed whose first violation starts with expectedViolation, or -1
int failingSeed(simulation_options options, const std::string &expectedViolation)
{
    constexpr int Seeds = 200;
    constexpr std::size_t Length = 80;
    for (int seed = 1; seed <= Seeds; ++seed) {
        options.seed = static_cast<std::uint32_t>(seed);
        const auto found = runAll(options, randomCommands(options.seed, Length)).violation;
        if (found.rfind(expectedViolation, 0) == 0)
            return seed;
    }
    return -1;
}

} // namespace

TEST_CASE("the guarantees on calls hold under random faults")
{
    const bool passed = rc::check("random commands", [] {
        const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>()));
        const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1000000);
        std::mt19937 random(seed);
        std::vector<calls_command> commands;
        commands.reserve(numbers.size());
        for (const auto number : numbers)
            commands.push_back({kindOf(number), static_cast<std::uint32_t>(random()),
                                static_cast<std::uint32_t>(random())});
        simulation_options options;
        options.seed = seed;
        const auto found = runAll(options, commands).violation;
        if (!found.empty())
            RC_FAIL(found);
    });
    CHECK(passed);
}

TEST_CASE("the guarantees on calls hold in long runs with fixed seeds")
{
    const char *runsText = std::getenv("TAMARACK_FUZZ_RUNS");
    const std::uint32_t runs = runsText ? static_cast<std::uint32_t>(std::atoi(runsText)) : 300;
    std::size_t requests = 0;
    std::size_t completed = 0;
    for (std::uint32_t seed = 1; seed <= runs; ++seed) {
        simulation_options options;
        options.seed = seed;
        const auto result = runAll(options, randomCommands(seed, 120));
        REQUIRE_MESSAGE(result.violation.empty(), "seed " << seed << ": " << result.violation);
        requests += result.requests;
        completed += result.completed;
    }
    // Runs without answers would show nothing.
    MESSAGE(completed << " of " << requests << " requests completed");
    CHECK(2 * completed > requests);
}

TEST_CASE("a planned stop interrupts no call")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        simulation_options options;
        options.seed = seed;
        calls_simulation simulation(options);
        for (std::uint32_t round = 0; round < 12; ++round) {
            for (std::uint32_t i = 0; i < 4; ++i)
                simulation.run({i % 2 == 0 ? kind::SendOnline : kind::SendOnce, i, 0});
            simulation.run({kind::Drain, 0, round});
            simulation.run({kind::Advance, 590, 0});
            simulation.run({kind::Advance, 590, 0});
        }
        simulation.settle();
        CHECK(simulation.violations().empty());
        CHECK(simulation.failed() == 0);
        CHECK(simulation.completed() == simulation.requests());
    }
}

TEST_CASE("the oracle detects injected faults")
{
    simulation_options options;
    SUBCASE("a refused attempt starts nevertheless")
    {
        options.gateFault = gate_mutation::NoTombstone;
        CHECK(failingSeed(options, "ran twice") > 0);
    }
    SUBCASE("a repeated start runs again")
    {
        options.gateFault = gate_mutation::NoDedupe;
        CHECK(failingSeed(options, "ran twice") > 0);
    }
    SUBCASE("batch calls run before online calls")
    {
        options.gateFault = gate_mutation::BatchBeforeOnline;
        CHECK(failingSeed(options, "online waits") > 0);
    }
    SUBCASE("leaving is ignored")
    {
        options.gateFault = gate_mutation::IgnoreLeaving;
        CHECK(failingSeed(options, "new work") > 0);
    }
    SUBCASE("a call that may have run is retried")
    {
        options.callFault = call_mutation::RetryOnUnknown;
        CHECK(failingSeed(options, "ran twice") > 0);
    }
    SUBCASE("not executed is reported without proof")
    {
        options.callFault = call_mutation::ClaimNotRun;
        CHECK(failingSeed(options, "said not run") > 0);
    }
    SUBCASE("frames of earlier attempts are accepted for the current one")
    {
        options.callFault = call_mutation::KeepOldAttempts;
        CHECK(failingSeed(options, "wrong answer") > 0);
    }
    SUBCASE("a keyed call runs without holding its key")
    {
        options.keyedFault = keyed_mutation::RunUnclaimed;
        CHECK(failingSeed(options, "key ran twice") > 0);
    }
}
