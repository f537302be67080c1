// Settings of the platform stand-in.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack::standins {

/// @brief What the program's flags set.
struct platform_options
{
    double appendRate = 300; // appends per second over all streams
    double appendBurst = 100; // appends
    std::uint64_t retentionRecords = 0; // per stream, 0 for no limit
    duration vmLag{};
    std::size_t weightBytes = 64 * 1024 * 1024; // size of each weight file
    double weightRate = 256e6; // bytes per second of each reader
    std::size_t weightReaders = 2; // at once
};

/// @brief Whether the log answers.
enum class log_state { Up, Down, Slow };

/// @brief What POST /fault sets.
struct platform_faults
{
    log_state log = log_state::Up;
    duration slowness{}; // added to each append and read while the log is slow
    std::uint64_t loseNextAnswers = 0; // appends that take effect without an answer
};

} // namespace tamarack::standins
