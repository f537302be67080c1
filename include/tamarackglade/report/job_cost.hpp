// Result of measureJob.
#pragma once

#include <cstddef>
#include <cstdint>

namespace tamarack {

/// @brief Time, memory and log space that one batch job costs.
struct job_cost
{
    std::uint32_t items = 0; // of the job
    double foldNsPerResult = 0; // time to fold one item_result record
    double foldHeapBytesPerItem = 0; // heap that the fold holds for the job, per item
    double logBytesPerItem = 0; // encoded result records, without the answer bytes
    double inputLogBytesPerItem = 0; // encoded file chunks, per item
    double snapshotBytesPerItem = 0;
    double ownerNsPerItem = 0; // time of the decisions on start, result and commit of one item
};

} // namespace tamarack
