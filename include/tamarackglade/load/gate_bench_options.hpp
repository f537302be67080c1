// Options of one run of the gate's measurement.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// Who decides what runs at the engine.
enum class gate_policy {
    OnlineOnly, // no batch
    BatchOnly, // no online calls, no gate
    NoGate, // batch and online calls as they come
    Gate
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
    std::uint32_t ungatedBatchStreams = 104; // streams that batch holds without a gate
};

} // namespace tamarack
