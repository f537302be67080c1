// An upstream that can take a request, as a strategy sees it.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct route_candidate
{
    upstream_id id;
    double load = 0; // calls at the upstream, as well as this process knows
    double reportedLoad = 0; // calls at the upstream by its last report alone
    double cost = 0; // of one more call: load over the share of a slow start, times zone cost
};

} // namespace tamarack
