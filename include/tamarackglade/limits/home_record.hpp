// The home of a limit partition, as folded from the stream "homes".
#pragma once

#include <tamarackglade/limits/live_entry.hpp>
#include <tamarackglade/schema/log_generated.h>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief The claim that counts for a partition.
struct home_record
{
    epoch_number epoch;
    live_entry home;
    live_entry successor; // its VM id is empty when there is none
    bool handedOver = false;
    bool settled = false; // with handedOver: no loan of a still earlier home could be unexpired
    // Whether this fold saw the chain up to this claim. Without it the record only names the
    // home to borrow from, and gives this process no role.
    bool chained = false;

    [[nodiscard]] bool hasSuccessor() const { return !successor.vm.value().empty(); }

    /// @return the record that a claim makes
    static home_record fromClaim(const schema::home_claimed_message &claim, bool chained);

    /// @return the record that a peer sent
    static home_record fromPeer(const schema::known_home_message &known);

    /// @return the record as it is sent to peers
    [[nodiscard]] schema::known_home_message toPeer(partition_id partition) const;
};

} // namespace tamarack
