// Decides when this VM claims a partition.
#pragma once

#include <tamarackglade/jobs/claim_options.hpp>
#include <tamarackglade/jobs/live_vm.hpp>
#include <tamarackglade/jobs/partition_claim.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>

#include <optional>
#include <vector>

namespace tamarack {

/// @brief Proposes a claim when the partition's owner has ended, times out, leaves or has handed
/// over. Each VM ranks itself by rendezvous hashing over its own list of live VMs and waits
/// claim_options::delayPerRank for each VM of higher rank. The lists may differ and clocks may be
/// wrong: two concurrent claims cost duplicate work but never give a wrong result, because the fold
/// accepts only one of them and voids the results of the other VM.
class claim_policy
{
public:
    claim_policy(partition_id partition, vm_id self, incarnation_number incarnation,
                 claim_options options = {});

    /// @brief Replaces the list of live VMs.
    void onLiveVms(std::vector<live_vm> vms);
    /// @brief Records that the owner of the current epoch sent a heartbeat or that one of its
    /// batches was folded.
    void onOwnerAlive(time_point now);
    /// @brief Records that the owner of an epoch has handed over; successors skip the owner
    /// timeout.
    void onOwnerReleased(epoch_number released);

    /// @return a claim to append now, if any; call it at least once per second
    std::optional<partition_claim> decide(const partition_fold &fold, time_point now);

private:
    [[nodiscard]] bool isOwnedBySelf(const partition_fold &fold) const;
    [[nodiscard]] const live_vm *find(const vm_id &vm) const;
    /// @return the time since which the partition may be claimed, or nothing if it may not
    std::optional<time_point> claimableSince(const partition_fold &fold, time_point now);
    /// @return the number of live VMs that come first in the claim order, or nothing if this VM is
    /// leaving or not in the list
    [[nodiscard]] std::optional<std::size_t> rank(const partition_fold &fold) const;

    partition_id m_partition;
    vm_id m_self;
    incarnation_number m_incarnation;
    claim_options m_options;
    std::vector<live_vm> m_vms;
    epoch_number m_seenEpoch{0};
    epoch_number m_releasedEpoch{0};
    time_point m_ownerAliveAt{};
    std::optional<time_point> m_ownerEndedSince; // the owner is not live or has a newer process
    std::optional<time_point> m_leavingSince;
    std::optional<time_point> m_claimedAt; // last claim of the epoch after m_seenEpoch
    bool m_hasSeenEpoch = false;
};

} // namespace tamarack
