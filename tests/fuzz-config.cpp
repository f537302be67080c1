// Stateful fuzzing of the configuration: racing publishes, faults of log, links and VMs.
#include "support/config_script.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace tamarack;
using namespace tamarack::test;

namespace {

constexpr int MutationSeeds = 60;
constexpr int MutationSteps = 60;

std::vector<config_step> randomSteps(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<config_step> steps;
    for (int i = 0; i < MutationSteps; ++i) {
        steps.emplace_back(static_cast<int>(random() % ConfigStepKinds),
                           static_cast<int>(random() % 40), static_cast<int>(random() % 40));
    }
    return steps;
}

// All that fixed seeds violate.
std::set<std::string> violationsOf(config_mutation mutation)
{
    std::set<std::string> all;
    for (std::uint64_t seed = 1; seed <= MutationSeeds; ++seed)
        all.merge(config_script(seed, mutation).run(randomSteps(seed)));
    return all;
}

std::string joined(const std::set<std::string> &violations)
{
    std::string text;
    for (const std::string &violation : violations)
        text += violation + "; ";
    return text;
}

} // namespace

TEST_CASE("the configuration holds its promises under random faults")
{
    const auto step = rc::gen::tuple(rc::gen::inRange(0, ConfigStepKinds), rc::gen::inRange(0, 40),
                                     rc::gen::inRange(0, 40));
    const bool held = rc::check("config", [&] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto steps = *rc::gen::container<std::vector<config_step>>(step);
        const auto violations = config_script(seed, config_mutation::None).run(steps);
        RC_LOG() << joined(violations);
        RC_ASSERT(violations.empty());
    });
    CHECK(held);
}

TEST_CASE("fixed seeds: none fails without a planted fault")
{
    CHECK(joined(violationsOf(config_mutation::None)) == "");
}

TEST_CASE("fixed seeds: each planted fault is found")
{
    CHECK(violationsOf(config_mutation::IgnoreBase)
              .contains("another manifest than the log's winner"));
    CHECK(violationsOf(config_mutation::AcceptOlderSnapshot).contains("offset went back"));
    CHECK(violationsOf(config_mutation::ReviveWithdrawnKey).contains("withdrawn key revived"));
    CHECK(violationsOf(config_mutation::GossipOff).contains("withdrawn key accepted after 5 s"));
    CHECK(violationsOf(config_mutation::TrustAnyAnswer)
              .contains("served below what was in force everywhere"));
}
