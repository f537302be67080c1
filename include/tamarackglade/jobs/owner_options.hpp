// Limits and timing options of a partition owner.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/jobs_mutation.hpp>
#include <tamarackglade/jobs/result_buffer.hpp>

#include <cstdint>

namespace tamarack {

struct owner_options
{
    std::uint32_t maxFailures = 3; // of one item; the last gives it an error result
    std::uint32_t maxCrashes = 2; // of one item; the last must be while it runs alone
    duration retryBackoff = std::chrono::seconds(1); // doubles with each failure or crash
    duration notStartedBackoff = std::chrono::milliseconds(200);
    duration attemptTimeout = std::chrono::minutes(10);
    duration appendRetryDelay = std::chrono::milliseconds(500);
    duration appendTimeout = std::chrono::seconds(5);
    // No item starts when the fold was last confirmed to be at the end of the log longer ago than
    // this.
    duration maxTailAge = std::chrono::seconds(3);
    // Sum of running attempts and results that are not yet folded.
    std::size_t maxUncommitted = 20000;
    std::size_t maxUncommittedBytes = 16 * 1024 * 1024; // of results that are not yet folded
    // Counted from the due time of the job, or from its end if that is later.
    std::uint64_t resultRetentionS = 7 * 24 * 3600;
    std::uint64_t unusedFileRetentionS = 24 * 3600;
    result_buffer::limits groupCommit;
    jobs_mutation mutation = jobs_mutation::None;
};

} // namespace tamarack
