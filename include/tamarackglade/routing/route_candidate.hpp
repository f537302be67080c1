// An upstream that can serve a request, as input of a routing strategy.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct route_candidate
{
    upstream_id id;
    double load = 0; // estimated calls at the upstream
    double reportedLoad = 0; // calls at the upstream in its last report
    double cost = 0; // (load + 1) / slow start share * zone cost
};

} // namespace tamarack
