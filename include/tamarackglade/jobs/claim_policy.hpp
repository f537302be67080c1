// Decides when this VM should claim a partition.
#pragma once

#include <tamarackglade/jobs/claim_options.hpp>
#include <tamarackglade/jobs/live_vm.hpp>
#include <tamarackglade/jobs/partition_claim.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief Proposes claims when a partition's owner is gone, silent, leaving or done handing over.
/// VMs rank themselves by rendezvous hashing over their own live views and wait their rank's turn.
/// Views may differ and clocks may be wrong: two claims cost work, never a wrong result, as the
/// fold counts one of them and voids the other's results.
class claim_policy
{
public:
    claim_policy(partition_id partition, vm_id self, incarnation_number incarnation,
                 claim_options options = {});

    /// @brief Replaces the live view.
    void onLiveVms(std::vector<live_vm> vms);
    /// @brief The owner of the current epoch was heard, or a batch of it was folded.
    void onOwnerAlive(time_point now);
    /// @brief The owner of an epoch has handed over: a successor need not wait.
    void onOwnerReleased(epoch_number released);

    /// @return a claim to append now, if any; call at least each second
    std::optional<partition_claim> decide(const partition_fold &fold, time_point now);

private:
    [[nodiscard]] bool isOwnedBySelf(const partition_fold &fold) const;
    [[nodiscard]] const live_vm *find(const vm_id &vm) const;
    /// @return when the partition became free to claim, if it is
    std::optional<time_point> claimableSince(const partition_fold &fold, time_point now);
    [[nodiscard]] std::optional<std::size_t> rank(const partition_fold &fold) const;

    partition_id m_partition;
    vm_id m_self;
    incarnation_number m_incarnation;
    claim_options m_options;
    std::vector<live_vm> m_vms;
    epoch_number m_seenEpoch{0};
    epoch_number m_releasedEpoch{0};
    time_point m_ownerAliveAt{};
    std::optional<time_point> m_ownerEndedSince; // the owner is missing from the view, or replaced
    std::optional<time_point> m_leavingSince;
    std::optional<time_point> m_claimedAt; // of the epoch after m_seenEpoch
    bool m_hasSeenEpoch = false;
};

} // namespace tamarack
