// The measurements of the capacity page. Each yields one table.
#pragma once

#include <tamarackglade/report/capacity_table.hpp>
#include <tamarackglade/report/job_measurement.hpp>

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace tamarack {

/// @brief A named measurement. All measurements together run for well under a minute.
struct capacity_measurement
{
    std::string name; // also the name of its table
    std::function<capacity_table(const measurement_hooks &)> measure;
};

/// @return all measurements, in the order of the capacity page
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
