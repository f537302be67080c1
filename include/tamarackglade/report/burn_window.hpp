// One look-back window of the burn report.
#pragma once

#include <tamarackglade/report/burn_count.hpp>

#include <cstdint>

namespace tamarack {

struct burn_window
{
    std::uint64_t lengthS = 0; // seconds
    burn_count count;
    // Share of bad events over the share that the objective allows: at 1 the budget lasts exactly
    // its period.
    double burnRate = 0;
};

} // namespace tamarack
