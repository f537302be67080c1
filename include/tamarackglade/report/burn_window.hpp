// One look-back window of the burn report.
#pragma once

#include <tamarackglade/report/burn_count.hpp>

#include <cstdint>

namespace tamarack {

/// @brief The events of one window and the burn rate that follows from them.
struct burn_window
{
    std::uint64_t lengthS = 0; // seconds
    burn_count count;
    // Share of bad events divided by the share that the objective allows. At 1 the error budget
    // lasts exactly its period.
    double burnRate = 0;
};

} // namespace tamarack
