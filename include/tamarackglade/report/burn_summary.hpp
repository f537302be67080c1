// The burn report at one moment.
#pragma once

#include <tamarackglade/report/burn_row.hpp>

#include <vector>

namespace tamarack {

struct burn_summary
{
    std::uint64_t nowS = 0; // seconds since the Unix epoch
    std::uint64_t firstDataS = 0; // where the data begin; nowS if there are none
    std::uint64_t historyBucketS = 0; // length of a bucket of the rows' history
    std::vector<burn_row> rows; // by objective, customer, class
};

} // namespace tamarack
