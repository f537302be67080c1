// One row of the measurement of batch jobs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarack {

struct job_cost
{
    std::uint32_t items = 0; // of one job
    double foldNsPerResult = 0; // time to fold one item_result record
    double foldHeapBytesPerItem = 0; // heap that the fold keeps for the job, by item
    double logBytesPerItem = 0; // encoded result records, without the answers' own bytes
    double inputLogBytesPerItem = 0; // encoded file chunks, by item
    double snapshotBytesPerItem = 0;
    double ownerNsPerItem = 0; // hand-out, result and commit decisions together
};

} // namespace tamarack
