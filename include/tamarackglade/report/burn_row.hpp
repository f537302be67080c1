// One row of the burn report.
#pragma once

#include <tamarackglade/config/objective_options.hpp>
#include <tamarackglade/report/burn_window.hpp>

#include <array>
#include <optional>
#include <vector>

namespace tamarack {

/// Lengths of the look-back windows in seconds: 5 minutes, 1 hour, 6 hours, 3 days.
inline constexpr std::array<std::uint64_t, 4> BurnWindowsS{300, 3'600, 21'600, 259'200};

/// @brief An objective for one customer and class, or for all customers together.
struct burn_row
{
    objective_options objective;
    customer_id customer; // empty: all customers together
    objective_class requests = objective_class::Online;
    std::array<burn_window, BurnWindowsS.size()> windows; // in the order of BurnWindowsS
    // Remaining share of the error budget of the longest window: 1 if no event was bad, below 0 if
    // the objective is missed.
    double budgetLeft = 1;
    // Seconds until the budget is exhausted at the burn rate of the last hour; absent if that rate
    // is 0, 0 if the budget is exhausted already.
    std::optional<double> exhaustionS;
    // Counts per bucket for the plots, oldest first. They span the data, at most the longest
    // window.
    std::vector<burn_count> history;
};

} // namespace tamarack
