// Timeouts of the shared rates.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @brief Timeouts of peer reports and memberships.
struct shared_rate_options
{
    /// A peer is unreachable if for this long no report arrived from it, or none that confirms that
    /// it receives the reports of this gateway.
    duration peerTimeout = std::chrono::milliseconds(600);
    /// Added to peerTimeout for each peer, since gateways report less often in large fleets.
    duration timeoutPerPeer = std::chrono::milliseconds(15);
    /// A member that neither reported nor renewed its membership for this long is removed.
    duration memberTimeout = std::chrono::seconds(8);
    /// A gateway without a reachable peer admits no requests if its own membership is older.
    duration ownMembershipTimeout = std::chrono::milliseconds(5'500);
};

} // namespace tamarack
