// Random fault sequences for the fleet of limiters.
#pragma once

#include "support/limits_fleet.hpp"

#include <cstdint>
#include <ostream>
#include <random>
#include <vector>

namespace tamarack::test {

/// What a step does to the fleet.
enum class limits_step_kind : std::uint8_t {
    Advance,
    Kill,
    Restart,
    RestartAll,
    Pause,
    CutOneWay,
    CutTwoWay,
    CutLog,
    HealAll,
    LogDown,
    LogUp,
    SlowNetwork,
    NormalNetwork,
    ChangeRate,
    HandOver,
    Burst,
    KillHome,
    PauseHome,
    ListLag,
    RemoveCustomer, // ChangeRate brings it back
    Count,
};

/// @brief One step of a sequence; a and b choose entries or values, then time passes.
struct limits_step
{
    limits_step_kind kind = limits_step_kind::Advance;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint16_t ms = 0; // below MaxStepMs
};

constexpr std::uint16_t MaxStepMs = 1500;

std::ostream &operator<<(std::ostream &out, const limits_step &step);

/// @brief What a sequence of steps led to.
struct limits_outcome
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t overAdmitted = 0;
    std::uint64_t refusedAfterHeal = 0; // within the rate, once all faults are over
    std::uint64_t offeredAfterHeal = 0;
};

/// @brief Runs steps on a fleet of 2 to 6 entries whose customers send more than their rates, then
/// heals all and offers a load within the rates.
limits_outcome runSteps(const std::vector<limits_step> &steps, std::size_t entries,
                        std::uint64_t seed, limit_mutation mutation = limit_mutation::None);

/// @return count steps drawn from a seed
std::vector<limits_step> randomSteps(std::size_t count, std::uint64_t seed);

} // namespace tamarack::test
