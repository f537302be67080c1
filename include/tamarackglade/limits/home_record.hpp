// The home of a limit partition, as folded from the stream "homes".
#pragma once

#include <tamarackglade/limits/live_entry.hpp>
#include <tamarackglade/schema/log_generated.h>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief The claim in force for a partition.
struct home_record
{
    epoch_number epoch;
    live_entry home;
    live_entry successor; // its VM id is empty when there is none
    bool handedOver = false;
    bool settled = false; // with handedOver: no loan of the homes before could be unexpired
    // Whether the fold contained the claim before this one, or this is the first claim. Otherwise
    // the claim may have lost to another one of its epoch: the record only names the home to borrow
    // from, and gives this process no role.
    bool chained = false;

    [[nodiscard]] bool hasSuccessor() const { return !successor.vm.value().empty(); }

    /// @return the record of a claim
    static home_record fromClaim(const schema::home_claimed_message &claim, bool chained);

    /// @return the record that a peer sent
    static home_record fromPeer(const schema::known_home_message &known);

    /// @return the record as it is sent to peers
    [[nodiscard]] schema::known_home_message toPeer(partition_id partition) const;
};

} // namespace tamarack
