// Measures the configuration's spread in virtual time, for the capacity page.
#pragma once

#include <tamarackglade/report/config_spread_cost.hpp>

#include <span>
#include <string>

namespace tamarack {

/// @brief Measures one size: idle gossip, withdrawn keys and new manifests, several of each.
/// @param nodes processes in the fleet
/// @param cutPercent of them that can't reach the log
/// @param customers of the manifest, which sets its size
config_spread_cost measureConfigSpread(std::size_t nodes, std::size_t cutPercent,
                                       std::size_t customers);

/// @return the points as a Markdown table
std::string configSpreadCostTable(std::span<const config_spread_cost> costs);

} // namespace tamarack
