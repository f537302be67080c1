// Measures what batch jobs cost, for the capacity page.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/report/group_commit_cost.hpp>
#include <tamarackglade/report/job_cost.hpp>

#include <functional>

namespace tamarack {

/// @brief The machine as the measurement sees it; this layer has no clock or heap counter.
struct measurement_hooks
{
    std::function<duration()> clock; // monotonic
    std::function<std::size_t()> heapBytes; // in use now
};

/// @brief Runs one job of so many items through the fold and the owner.
/// @param answerBytes the size of each answer; complexity O(items)
job_cost measureJob(std::uint32_t items, std::size_t answerBytes, const measurement_hooks &hooks);

/// @brief Runs ten virtual seconds of results at a rate through an owner's group commit.
/// @param appendTime from sending an append until the fold shows it
group_commit_cost measureCommit(std::uint32_t itemsPerSecond, std::size_t answerBytes,
                                duration appendTime);

} // namespace tamarack
