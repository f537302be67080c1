// The times of the claim policy.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

struct claim_options
{
    duration ownerTimeout = std::chrono::seconds(10); // without progress or heartbeat
    duration handoverGrace = std::chrono::seconds(5); // for a leaving owner to hand over
    duration delayPerRank = std::chrono::seconds(3); // head start of each better-placed VM
    duration claimRetryDelay = std::chrono::seconds(2);
};

} // namespace tamarack
