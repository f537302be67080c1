// Times of the shared rates.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

/// @brief How long reports count.
struct shared_rate_options
{
    /// A peer that was not heard for this long, or hasn't heard us, is unreachable.
    duration peerTimeout = std::chrono::milliseconds(600);
    /// Added for each peer, since gateways report less often in large fleets.
    duration timeoutPerPeer = std::chrono::milliseconds(15);
    /// A member that wasn't heard and hasn't renewed its membership for this long is gone.
    duration memberTimeout = std::chrono::seconds(8);
    /// Without a reachable peer, a process whose own membership is older admits nothing.
    duration ownMembershipTimeout = std::chrono::milliseconds(5'500);
};

} // namespace tamarack
