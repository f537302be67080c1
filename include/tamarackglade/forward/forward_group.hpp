// An upstream group of the forwarding configuration.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief Settings common to the upstreams of a group.
struct forward_group
{
    group_id id;
    unsigned slots = 0; // number of requests that an upstream runs concurrently; 0 if unknown
    unsigned maxConnections = 0; // from all callers to one upstream; 0 for no limit
    // Requests per second that an upstream takes from all gateways while it warms up; 0 for no
    // limit.
    double warmUpRate = 0;
};

} // namespace tamarack
