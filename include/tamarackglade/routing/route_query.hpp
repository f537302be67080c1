// The request for which an upstream is chosen.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <cstdint>
#include <vector>

namespace tamarack {

struct route_query
{
    group_id group;
    model_id model; // empty for services
    schema::call_class callClass = schema::call_class::Online;
    std::uint64_t prefixHash = 0; // of the beginning of the prompt; 0 if there is none
    std::vector<upstream_id> excluded; // already tried or not connected
};

} // namespace tamarack
