// The bounds and times of a partition's owner.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/jobs_mutation.hpp>
#include <tamarackglade/jobs/result_buffer.hpp>

#include <cstdint>

namespace tamarack {

struct owner_options
{
    std::uint32_t maxFailures = 3; // of one item, before its final error result
    std::uint32_t maxCrashes = 2; // of one item, the last of them while it ran alone
    duration retryBackoff = std::chrono::seconds(1); // doubles with each failure or crash
    duration notStartedBackoff = std::chrono::milliseconds(200);
    duration attemptTimeout = std::chrono::minutes(10);
    duration appendRetryDelay = std::chrono::milliseconds(500);
    duration appendTimeout = std::chrono::seconds(5);
    // Hand-out pauses when the fold was not known to be at the log's end for so long.
    duration maxTailAge = std::chrono::seconds(3);
    // Running attempts and results that are not yet folded, together.
    std::size_t maxUncommitted = 20000;
    std::size_t maxUncommittedBytes = 16 * 1024 * 1024;
    std::uint64_t resultRetentionS = 7 * 24 * 3600; // past the due time, or the end if later
    std::uint64_t unusedFileRetentionS = 24 * 3600;
    result_buffer::limits groupCommit;
    jobs_mutation mutation = jobs_mutation::None;
};

} // namespace tamarack
