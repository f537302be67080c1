// Options of the router.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/routing/health_options.hpp>
#include <tamarackglade/routing/routing_strategy_kind.hpp>

namespace tamarack {

struct routing_options
{
    routing_strategy_kind strategy = routing_strategy_kind::PrefixBounded;
    zone_id zone; // of this process
    double otherZoneCost = 1.1; // cost factor of upstreams in other zones
    double boundFactor = 1.25; // maximum cost for prefix affinity, relative to the mean cost
    duration slowStart = std::chrono::seconds(10); // duration, for upstreams that return
    double slowStartShare = 0.1; // share of the normal load at the start of the slow start
    health_options health;
};

} // namespace tamarack
