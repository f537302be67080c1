// What the configuration says of an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <set>

namespace tamarack {

struct upstream_info
{
    upstream_id id;
    group_id group;
    zone_id zone;
    std::set<std::string> models; // empty: any, as for services
};

} // namespace tamarack
