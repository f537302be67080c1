// Measures in virtual time how the configuration spreads, for the capacity page.
#pragma once

#include <tamarackglade/report/config_spread_cost.hpp>

#include <span>
#include <string>

namespace tamarack {

/// @brief Measures idle gossip and the spread of several withdrawn keys and new manifests.
/// @param nodes processes in the fleet
/// @param cutPercent percentage of the processes that cannot reach the log
/// @param customers number of customers in the manifest, which determines its size
config_spread_cost measureConfigSpread(std::size_t nodes, std::size_t cutPercent,
                                       std::size_t customers);

/// @return a Markdown table with one row for each cost
std::string configSpreadCostTable(std::span<const config_spread_cost> costs);

} // namespace tamarack
