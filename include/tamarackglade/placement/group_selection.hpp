// Chooses the group of a split route at which a request or a batch item can run.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/forward/forward_route.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <set>
#include <vector>

namespace tamarack {

/// @brief Chooses by weight among the groups that take work. If none does, among those with an
/// upstream that was not tried or doesn't fail, then among those with any upstream.
/// @param groups must not be empty
/// @param tried upstreams that failed this request or item before
/// @return an element of groups
const group_id &selectGroup(const std::vector<weighted_group> &groups, const request_id &id,
                            const slot_allocator &allocator, const std::set<upstream_id> &tried,
                            time_point now);

} // namespace tamarack
