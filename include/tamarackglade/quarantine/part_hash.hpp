// Hash that identifies a prompt part within an upstream group.
#pragma once

#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// Stable hash of a prompt part and an upstream group. A part that crashes the upstreams of one
/// group may be harmless to those of another.
using part_hash = strong_id<struct part_hash_tag, std::uint64_t>;

inline part_hash hashOf(const group_id &group, const prompt_part_id &part)
{
    return part_hash(stableHash(part.value(), stableHash(group.value())));
}

} // namespace tamarack
