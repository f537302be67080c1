// Quantiles of measured values.
#pragma once

#include <vector>

namespace tamarack {

/// @brief The value at a share of the sorted values; reorders them; O(n).
/// @param share from 0 to 1
/// @return 0 if there are no values
double quantile(std::vector<double> &values, double share);

} // namespace tamarack
