// The measurements behind the capacity page, one table for each mechanism.
#pragma once

#include <tamarackglade/report/capacity_table.hpp>
#include <tamarackglade/report/job_measurement.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A named measurement; all of them together take well under a minute.
struct capacity_measurement
{
    std::string name; // also the table's
    std::function<capacity_table(const measurement_hooks &)> measure;
};

/// @return all measurements of decision code, in the page's order
std::vector<capacity_measurement> capacityMeasurements();

/// @name Groups of measurements
/// @{
std::vector<capacity_measurement> configMeasurements();
std::vector<capacity_measurement> limitsMeasurements();
std::vector<capacity_measurement> jobsMeasurements();
std::vector<capacity_measurement> entryMeasurements();
std::vector<capacity_measurement> sideMeasurements();
/// @}

} // namespace tamarack
