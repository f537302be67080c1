// One line of the burn report.
#pragma once

#include <tamarackglade/config/objective_options.hpp>
#include <tamarackglade/report/burn_window.hpp>

#include <array>
#include <optional>
#include <vector>

namespace tamarack {

/// Lengths of the windows in seconds: 5 minutes, 1 hour, 6 hours, 3 days.
inline constexpr std::array<std::uint64_t, 4> BurnWindowsS{300, 3'600, 21'600, 259'200};

/// @brief An objective for one customer and class, or for all customers together.
struct burn_row
{
    objective_options objective;
    customer_id customer; // empty: all customers together
    objective_class requests = objective_class::Online;
    std::array<burn_window, BurnWindowsS.size()> windows; // by BurnWindowsS
    // Share of the longest window's budget that is left: 1 if no event was bad, below 0 if the
    // objective is missed.
    double budgetLeft = 1;
    // Seconds until the budget is used up at the last hour's burn rate; absent if it burns
    // nothing, 0 if it is used up.
    std::optional<double> exhaustionS;
    // Bad events a bucket, oldest first, over the longest window with data; for plots.
    std::vector<burn_count> history;
};

} // namespace tamarack
