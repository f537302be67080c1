// Rate limits and part size of the retention planner.
#pragma once

#include <tamarackglade/jobs/jobs_mutation.hpp>

#include <cstddef>

namespace tamarack {

struct retention_options
{
    double maxBytesPerSecond = 4.0 * 1024 * 1024;
    double maxAppendsPerSecond = 2;
    std::size_t snapshotPartBytes = 512 * 1024;
    jobs_mutation mutation = jobs_mutation::None;
};

} // namespace tamarack
