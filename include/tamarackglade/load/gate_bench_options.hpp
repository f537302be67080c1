// Options of one run of the gate benchmark.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief What is sent to the engine, and whether the gate controls it.
enum class gate_policy {
    OnlineOnly, // no batch
    BatchOnly, // no online calls, no gate
    NoGate, // online and batch calls go to the engine without a gate
    Gate // the gate controls online and batch calls
};

struct gate_bench_options
{
    gate_policy policy = gate_policy::Gate;
    double onlineProtection = 0.5;
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(300);
    duration warmUp = std::chrono::seconds(20);
    double onlinePerSecond = 2; // Poisson arrivals
    duration burstInterval = std::chrono::seconds(15);
    int burstSize = 16; // calls within burstLength
    duration burstLength = std::chrono::milliseconds(500);
    std::uint32_t onlineTokens = 80; // of each answer
    std::uint32_t batchTokens = 200;
    std::uint32_t ungatedBatchStreams = 104; // batch streams kept open by BatchOnly and NoGate
};

} // namespace tamarack
