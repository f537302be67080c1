// Result of burn_report::summarize.
#pragma once

#include <tamarackglade/report/burn_row.hpp>

#include <vector>

namespace tamarack {

/// @brief The burn report at one time.
struct burn_summary
{
    std::uint64_t nowS = 0; // seconds since the Unix epoch
    std::uint64_t firstDataS = 0; // time of the first data; nowS if there are none
    std::uint64_t historyBucketS = 0; // seconds; bucket length of burn_row::history
    std::vector<burn_row> rows; // sorted by objective, customer and class
};

} // namespace tamarack
