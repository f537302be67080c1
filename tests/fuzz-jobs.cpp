// Stateful fuzzing of batch jobs: entries, sides and the log with faults, compared with an oracle.
#include "support/jobs_simulation.hpp"

#include <absl/strings/str_join.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

enum class command_kind : std::uint8_t {
    Submit,
    SubmitAndLose, // the entry is lost right after it acknowledges the job
    Resend,
    Cancel,
    Kill,
    KillOwner,
    Pause,
    PauseOwner,
    LogDown,
    LogSlow,
    AnswersLost,
    SideCrash,
    SideLoses,
    SideRepeats,
    SideDelays,
    SideFails,
    StrayResult,
    Repeat,
    Wait,
    WaitLong,
    Count,
};

struct command
{
    command_kind kind = command_kind::Wait;
    std::uint32_t argument = 0;
};

[[maybe_unused]] std::ostream &operator<<(std::ostream &out, const command &value)
{
    return out << static_cast<int>(value.kind) << ":" << value.argument;
}

std::string contentOf(std::uint32_t argument)
{
    std::map<std::size_t, std::string> flags;
    if (argument % 3 == 0)
        flags[argument % 5] = "poison";
    if (argument % 4 == 0)
        flags[argument % 7] = "rejected";
    return jobs_simulation::content(1 + argument % 12, std::to_string(argument % 6), flags);
}

void runCommand(jobs_simulation &simulation, const command &step)
{
    const auto argument = step.argument;
    const auto entry = argument % simulation.entries.size();
    const auto customer = "c" + std::to_string(argument % 3);
    const auto owner = simulation.ownerIndex();
    auto &side = simulation.sides[argument % simulation.sides.size()];
    const auto now = simulation.now();
    const auto open = simulation.openJobs();
    switch (step.kind) {
    case command_kind::Submit:
        simulation.submit(entry, customer, contentOf(argument));
        break;
    case command_kind::SubmitAndLose:
        simulation.submit(entry, customer, contentOf(argument), {}, true);
        break;
    case command_kind::Resend:
        simulation.submit(entry, customer, contentOf(argument));
        simulation.submit((entry + 1) % simulation.entries.size(), customer, contentOf(argument));
        break;
    case command_kind::Cancel:
        if (!open.empty())
            simulation.cancel(open[argument % open.size()]);
        break;
    case command_kind::Kill:
        simulation.kill(entry, 4s);
        break;
    case command_kind::KillOwner:
        if (owner < simulation.entries.size())
            simulation.kill(owner, 6s);
        break;
    case command_kind::Pause:
        simulation.pause(entry, 30s);
        break;
    case command_kind::PauseOwner:
        if (owner < simulation.entries.size())
            simulation.pause(owner, 25s);
        break;
    case command_kind::LogDown:
        simulation.log.downUntil = now + std::chrono::seconds(2 + argument % 12);
        break;
    case command_kind::LogSlow:
        simulation.log.slowUntil = now + 6s;
        break;
    case command_kind::AnswersLost:
        simulation.log.answersLostUntil = now + 6s;
        break;
    case command_kind::SideCrash:
        simulation.crashSide(argument % simulation.sides.size());
        break;
    case command_kind::SideLoses:
        side.loseUntil = now + 4s;
        break;
    case command_kind::SideRepeats:
        side.repeatUntil = now + 6s;
        break;
    case command_kind::SideDelays:
        side.delayUntil = now + 4s;
        break;
    case command_kind::SideFails:
        side.failUntil = now + 3s;
        break;
    case command_kind::StrayResult:
        simulation.appendStrayResult(argument);
        break;
    case command_kind::Repeat:
        simulation.repeatBatch(argument);
        break;
    case command_kind::WaitLong:
        simulation.run(std::chrono::seconds(60 + argument % 120));
        break;
    default:
        simulation.run(std::chrono::milliseconds(200 + argument % 4000));
        break;
    }
    simulation.run(std::chrono::milliseconds(argument % 900));
    simulation.check();
}

std::vector<std::string> runAll(const std::vector<command> &commands, std::uint64_t seed,
                                std::size_t entryCount,
                                jobs_mutation mutation = jobs_mutation::None)
{
    jobs_simulation simulation(seed, entryCount, mutation);
    simulation.run(5s);
    for (const auto &step : commands) {
        runCommand(simulation, step);
        if (!simulation.violations.empty())
            return simulation.violations;
    }
    simulation.recover();
    return simulation.violations;
}

std::vector<command> randomCommands(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<command> commands(30);
    for (auto &step : commands) {
        const auto kind = random() % static_cast<std::uint64_t>(command_kind::Count);
        step = {static_cast<command_kind>(kind), static_cast<std::uint32_t>(random() % 1000)};
    }
    return commands;
}

constexpr std::uint64_t MutationSeeds = 100;

std::uint64_t firstFailingSeed(jobs_mutation mutation)
{
    for (std::uint64_t seed = 1; seed <= MutationSeeds; ++seed) {
        if (!runAll(randomCommands(seed), seed, 3, mutation).empty())
            return seed;
    }
    return 0;
}

} // namespace

TEST_CASE("accepted items complete exactly once under faults")
{
    const bool holds = rc::check("jobs against the oracle", [] {
        const auto generator = rc::gen::container<std::vector<command>>(rc::gen::apply(
            [](std::uint8_t kind, std::uint32_t argument) {
                return command{static_cast<command_kind>(kind), argument};
            },
            rc::gen::inRange<std::uint8_t>(0, static_cast<std::uint8_t>(command_kind::Count)),
            rc::gen::inRange<std::uint32_t>(0, 1000)));
        const auto commands = *generator;
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
        const auto entryCount = *rc::gen::inRange<std::size_t>(2, 5);
        const auto violations = runAll(commands, seed, entryCount);
        if (!violations.empty())
            RC_FAIL(absl::StrJoin(violations, "\n"));
    });
    CHECK(holds);
}

TEST_CASE("the seeds of the mutation test pass without a mutation")
{
    for (std::uint64_t seed = 1; seed <= MutationSeeds; ++seed) {
        CAPTURE(seed);
        const auto violations = runAll(randomCommands(seed), seed, 3);
        CHECK_MESSAGE(violations.empty(), absl::StrJoin(violations, "\n"));
    }
}

TEST_CASE("the oracle detects each mutation")
{
    const auto mutation = std::vector{jobs_mutation::LastResultWins, jobs_mutation::EpochNotChecked,
                                      jobs_mutation::SnapshotDropped, jobs_mutation::CopyDropped,
                                      jobs_mutation::CancelIgnored};
    for (const auto seeded : mutation) {
        const auto seed = firstFailingSeed(seeded);
        MESSAGE("mutation " << static_cast<int>(seeded) << " fails with seed " << seed);
        CHECK(seed > 0);
    }
}
