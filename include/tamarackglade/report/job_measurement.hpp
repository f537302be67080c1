// Measures the cost of batch jobs, for the capacity page.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/group_commit_cost.hpp>
#include <tamarackglade/report/job_cost.hpp>

#include <functional>

namespace tamarack {

/// @brief Access to the machine: decision code has no clock and no heap counter of its own.
struct measurement_hooks
{
    std::function<duration()> clock; // monotonic
    std::function<std::size_t()> heapBytes; // heap bytes in use
};

/// @brief Runs one job through the fold and the partition owner. Complexity O(items).
/// @param items number of items of the job
/// @param answerBytes size of each answer
job_cost measureJob(std::uint32_t items, std::size_t answerBytes, const measurement_hooks &hooks);

/// @brief Runs ten virtual seconds of item results through the group commit of an owner.
/// @param answerBytes size of each answer
/// @param appendTime time from the start of an append until it is folded
group_commit_cost measureCommit(std::uint32_t itemsPerSecond, std::size_t answerBytes,
                                duration appendTime);

} // namespace tamarack
