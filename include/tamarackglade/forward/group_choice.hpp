// Chooses among the groups of a split route.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/forward/forward_route.hpp>

#include <functional>
#include <vector>

namespace tamarack {

/// @brief Chooses a group by the weights. The same id always gets the same group of the same
/// groups.
/// @param groups must not be empty
/// @return an element of groups
const group_id &chooseGroup(const std::vector<weighted_group> &groups, const request_id &id);

/// @brief Chooses among the usable groups only, by their weights.
/// @return an element of groups; as if all were usable if none is
const group_id &chooseUsableGroup(const std::vector<weighted_group> &groups, const request_id &id,
                                  const std::function<bool(const group_id &)> &isUsable);

} // namespace tamarack
