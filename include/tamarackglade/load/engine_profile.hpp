// Capacity and speed of an engine model.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief The manual profile of Fleet Sim (the fleet simulator of the vLLM project): an iteration
/// of n sequences takes W + H * n; prompts are processed in chunks of a fixed number of tokens.
struct engine_profile
{
    duration iterationBase = std::chrono::microseconds(8000); // W
    duration iterationPerSequence = std::chrono::microseconds(650); // H
    double speedup = 1; // divides the time of every iteration; greater than 0
    std::uint32_t chunkTokens = 512; // prompt tokens of one iteration, over all sequences
    std::uint32_t maxSequences = 128; // in the batch at once
    std::uint64_t kvTokens = 1'000'000; // prompt and answer tokens that the batch can hold
    std::uint32_t blockTokens = 16; // tokens of one prefix cache block
    std::uint64_t cacheBlocks = 16'384; // blocks of the prefix cache

    /// @return the time of an iteration of n sequences, at least 1 ns
    [[nodiscard]] duration iterationTime(std::size_t n) const
    {
        const duration full = iterationBase + iterationPerSequence * static_cast<std::int64_t>(n);
        const auto scaled = static_cast<std::int64_t>(static_cast<double>(full.count()) / speedup);
        return duration(scaled > 0 ? scaled : 1);
    }
};

} // namespace tamarack
