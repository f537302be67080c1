// Quantiles of a list of values.
#pragma once

#include <vector>

namespace tamarack {

/// @brief Selects the value at a share of the sorted values, without interpolation. Reorders the
/// values; O(n) on average.
/// @param share from 0 to 1
/// @return the value, or 0 if there are no values
double quantile(std::vector<double> &values, double share);

} // namespace tamarack
