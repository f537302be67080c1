// Timing options of the claim policy.
#pragma once

#include <tamarackglade/core/time.hpp>

namespace tamarack {

struct claim_options
{
    duration ownerTimeout = std::chrono::seconds(10); // without a folded batch or heartbeat
    duration handoverGrace = std::chrono::seconds(5); // time for a leaving owner to hand over
    duration delayPerRank = std::chrono::seconds(3); // wait for each VM of higher rank
    duration claimRetryDelay = std::chrono::seconds(2); // between claims of the same epoch
};

} // namespace tamarack
