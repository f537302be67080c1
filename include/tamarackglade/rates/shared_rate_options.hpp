// Timeouts of the shared rates, and the size from which gateways report by zone.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Options of peer reports and memberships.
struct shared_rate_options
{
    /// A peer is unreachable if for this long no report arrived from it, or none that confirms that
    /// it receives the reports of this gateway.
    duration peerTimeout = std::chrono::milliseconds(600);
    /// Added to peerTimeout for each peer, since gateways report less often in large fleets.
    duration timeoutPerPeer = std::chrono::milliseconds(15);
    /// Added instead for each gateway of the zone, where zones report to each other.
    duration timeoutPerZonePeer = std::chrono::milliseconds(6);
    /// Added for gateways of other zones there, as their reports are passed on by others.
    duration relayedDelay = std::chrono::milliseconds(300);
    /// There, a gateway whose last report is older has no part in the share of the rates. It is
    /// shorter than the timeouts, as the two sides of a partition both use the whole rate until
    /// they notice.
    duration shareTimeoutByZone = std::chrono::milliseconds(400);
    /// Gateways of a larger fleet report directly only to those of their zone.
    std::size_t maxDirectFleet = 48;
    /// A member that neither reported nor renewed its membership for this long is removed.
    duration memberTimeout = std::chrono::seconds(8);
    /// A gateway without a reachable peer admits no requests if its own membership is older.
    duration ownMembershipTimeout = std::chrono::milliseconds(5'500);
};

} // namespace tamarack
