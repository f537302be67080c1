// Chooses the side processes that an entry connects to.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>
#include <tamarackglade/membership/subset_options.hpp>

#include <span>
#include <vector>

namespace tamarack {

/// @brief Selects a subset of each group by rendezvous hashing of entry and side. Each entry
/// selects independently, a change of one side affects only the entries that lose or gain it, and
/// each zone has a share, so that the loss of a zone leaves sides of all groups.
/// @param sides the sides that accept work, in the entry's region
/// @return the chosen sides, in order of group and name; complexity O(sides log sides)
std::vector<listed_vm> selectSides(const vm_id &entry, const zone_id &zone,
                                   std::span<const listed_vm> sides, const subset_options &options);

} // namespace tamarack
