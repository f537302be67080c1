// Simulates gateways and engines in virtual time, for tests of queueing, placement and preemption.
#pragma once

#include <tamarackglade/placement/slot_queue.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace tamarack::testing {

/// @brief Policy that decides where and when requests run.
enum class load_policy {
    Project, // the slot allocator, slot queue and yield planner of the project
    // As Project, but all gateways yield a share of the slots, rounded up, that others wait for,
    // and the least used engines are chosen at any size.
    EveryoneYields,
    Baseline // a random engine that serves in order of arrival; batch work is never preempted
};

/// @brief A load as at the users' sites: alternating calm and burst phases with concurrent batch
/// work.
struct gateway_load
{
    std::size_t gateways = 7;
    std::size_t zones = 3; // gateways and engines are assigned to them in turn
    std::size_t engines = 12;
    unsigned slots = 8;
    duration calm = std::chrono::milliseconds(3'000);
    duration burst = std::chrono::milliseconds(2'200);
    double calmRate = 21; // online requests per second over all gateways
    double burstRate = 103;
    double noisyShare =
        0; // rate of one additional customer, relative to the online rate of the others
    double batchRate = 6.9; // items per second
    duration onlineTime = std::chrono::milliseconds(750); // for which a request occupies a slot
    duration batchTime = std::chrono::milliseconds(5'000);
    duration objective = std::chrono::milliseconds(300); // to the first event
    duration firstEvent = std::chrono::milliseconds(25); // from the start at an engine
    duration batchObjective = std::chrono::milliseconds(18'000);
    duration length = std::chrono::seconds(60);
};

/// @brief Counts of the outcome of a simulation.
struct load_result
{
    std::size_t offered = 0; // online requests, without those of the noisy customer
    std::size_t inTime = 0; // offered requests with their first event within the objective
    std::size_t refusedImmediately = 0; // offered requests that were refused on arrival
    std::size_t batchOffered = 0; // items due before the end of the simulation
    std::size_t batchInTime = 0; // items of batchOffered that ended within batchObjective
    std::size_t batchRuns = 0; // started, again after each yield too
    std::size_t yields = 0; // batch runs that were ended for online requests
    std::size_t datagrams = 0; // between gateways

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

/// @brief Simulates a load. Equal arguments give equal results.
load_result simulateLoad(const gateway_load &load, load_policy policy, std::uint64_t seed);

} // namespace tamarack::testing
