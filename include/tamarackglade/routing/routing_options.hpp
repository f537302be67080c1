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
    double otherZoneCost = 1.1; // an upstream elsewhere counts as so much more loaded
    double boundFactor = 1.25; // of the mean load, for prefix affinity
    duration slowStart = std::chrono::seconds(10); // of upstreams that return
    double slowStartShare = 0.1; // of its load at the beginning of the slow start
    health_options health;
};

} // namespace tamarack
