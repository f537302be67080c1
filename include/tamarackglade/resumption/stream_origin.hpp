// Where a stream began.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @brief The upstreams that can write the rest of a stream: those of one group and one version.
struct stream_origin
{
    group_id group;
    software_version version; // empty if unknown; no upstream can go on then
    time_point begunAt{}; // of the first event

    /// @return whether upstreams of the group may be able to go on
    [[nodiscard]] bool isKnownFor(const group_id &other) const
    {
        return !version.value().empty() && group == other;
    }
};

} // namespace tamarack
