// The measurements behind the capacity page, one table for each mechanism.
#pragma once

#include <tamarackglade/report/jobs_slopes.hpp>
#include <tamarackglade/report/slope_table.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A named measurement; all of them together take well under a minute.
struct capacity_slope
{
    std::string name; // also the table's
    std::function<slope_table(const measuring_hooks &)> measure;
};

/// @return all measurements of decision code, in the page's order
std::vector<capacity_slope> capacitySlopes();

/// @name Groups of measurements
/// @{
std::vector<capacity_slope> configCapacitySlopes();
std::vector<capacity_slope> limitsCapacitySlopes();
std::vector<capacity_slope> jobsCapacitySlopes();
std::vector<capacity_slope> entryCapacitySlopes();
std::vector<capacity_slope> sideCapacitySlopes();
/// @}

} // namespace tamarack
