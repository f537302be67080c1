// The configuration of an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <set>

namespace tamarack {

struct upstream_info
{
    upstream_id id;
    group_id group;
    zone_id zone;
    std::set<std::string> models; // empty if it serves any model, as services do
};

} // namespace tamarack
