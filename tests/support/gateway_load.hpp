// Gateways and engines in virtual time, for tests of queueing, placing and yielding.
#pragma once

#include <tamarackglade/placement/slot_queue.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace tamarack::testing {

/// What decides where and when requests run.
enum class load_policy {
    Project, // the project's own decisions
    Baseline // a random engine, first come first served there; batch work never preempted
};

/// @brief A load in the shape of the users' sites: calm and bursts by turns, batch beside it.
struct gateway_load
{
    std::size_t gateways = 7;
    std::size_t engines = 12;
    unsigned slots = 8;
    duration calm = std::chrono::milliseconds(3'000);
    duration burst = std::chrono::milliseconds(2'200);
    double calmRate = 21; // online requests a second, over all gateways
    double burstRate = 103;
    double noisyShare = 0; // of the online requests, sent by one customer on top of the others'
    double batchRate = 6.9; // items a second
    duration onlineTime = std::chrono::milliseconds(750); // of a slot
    duration batchTime = std::chrono::milliseconds(5'000);
    duration objective = std::chrono::milliseconds(300); // to the first event
    duration firstEvent = std::chrono::milliseconds(25); // from the start at an engine
    duration batchObjective = std::chrono::milliseconds(18'000);
    duration length = std::chrono::seconds(60);
};

/// @brief What callers got.
struct load_result
{
    std::size_t offered = 0; // online requests, but the noisy customer's
    std::size_t inTime = 0; // of them: first event within the objective
    std::size_t refusedAtOnce = 0; // of them: within a quarter of the objective
    std::size_t batchOffered = 0; // due before the end
    std::size_t batchInTime = 0;

    [[nodiscard]] double onlineShare() const
    {
        return offered == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(offered);
    }
    [[nodiscard]] double batchShare() const
    {
        return batchOffered == 0
                   ? 1
                   : static_cast<double>(batchInTime) / static_cast<double>(batchOffered);
    }
};

/// @brief Plays a load. Equal arguments give equal results.
load_result simulateLoad(const gateway_load &load, load_policy policy, std::uint64_t seed);

} // namespace tamarack::testing
