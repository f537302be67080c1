// Hash that identifies one start of an upstream.
#pragma once

#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// Stable hash of an upstream's id and incarnation.
using instance_hash = strong_id<struct instance_hash_tag, std::uint64_t>;

inline instance_hash hashOf(const upstream_id &upstream, incarnation_number incarnation)
{
    return instance_hash(stableHash(upstream.value(), incarnation.value()));
}

} // namespace tamarack
