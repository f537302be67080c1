// Decides when this VM claims a partition.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/claim_policy.hpp>

#include <algorithm>

namespace tamarack {

claim_policy::claim_policy(partition_id partition, vm_id self, incarnation_number incarnation,
                           claim_options options)
    : m_partition(partition), m_self(std::move(self)), m_incarnation(incarnation),
      m_options(options)
{
}

void claim_policy::onLiveVms(std::vector<live_vm> vms)
{
    m_vms = std::move(vms);
}

void claim_policy::onOwnerAlive(time_point now)
{
    m_ownerAliveAt = std::max(m_ownerAliveAt, now);
}

void claim_policy::onOwnerReleased(epoch_number released)
{
    m_releasedEpoch = std::max(m_releasedEpoch, released);
}

bool claim_policy::isOwnedBySelf(const partition_fold &fold) const
{
    return fold.ownerVm() == m_self && fold.ownerIncarnation() == m_incarnation;
}

const live_vm *claim_policy::find(const vm_id &vm) const
{
    const auto found =
        std::find_if(m_vms.begin(), m_vms.end(), [&](const auto &entry) { return entry.vm == vm; });
    return found == m_vms.end() ? nullptr : &*found;
}

std::optional<time_point> claim_policy::claimableSince(const partition_fold &fold, time_point now)
{
    const auto *owner = find(fold.ownerVm());
    const bool hasEnded = !owner || owner->incarnation > fold.ownerIncarnation();
    const bool isLeaving = owner && owner->leaving;
    if (!hasEnded)
        m_ownerEndedSince.reset();
    else if (!m_ownerEndedSince)
        m_ownerEndedSince = now;
    if (!isLeaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = now;
    if (hasEnded)
        return m_ownerEndedSince;
    if (m_releasedEpoch >= fold.currentEpoch())
        return now - m_options.delayPerRank; // ranks 0 and 1 may claim at once
    if (m_leavingSince && now >= *m_leavingSince + m_options.handoverGrace)
        return *m_leavingSince + m_options.handoverGrace;
    if (now >= m_ownerAliveAt + m_options.ownerTimeout)
        return m_ownerAliveAt + m_options.ownerTimeout;
    return std::nullopt;
}

std::optional<std::size_t> claim_policy::rank(const partition_fold &fold) const
{
    const auto score = [&](const vm_id &vm) {
        return stableHash(vm.value(), m_partition.value() + 1);
    };
    const auto *self = find(m_self);
    if (!self || self->leaving)
        return std::nullopt;
    return static_cast<std::size_t>(std::count_if(m_vms.begin(), m_vms.end(), [&](const auto &vm) {
        const bool isOwner = vm.vm == fold.ownerVm() && vm.incarnation == fold.ownerIncarnation();
        return !vm.leaving && !isOwner && vm.vm != m_self && score(vm.vm) > score(m_self);
    }));
}

std::optional<partition_claim> claim_policy::decide(const partition_fold &fold, time_point now)
{
    if (!m_hasSeenEpoch || fold.currentEpoch() != m_seenEpoch) {
        m_hasSeenEpoch = true;
        m_seenEpoch = fold.currentEpoch();
        m_ownerAliveAt = std::max(m_ownerAliveAt, now);
        m_ownerEndedSince.reset();
        m_claimedAt.reset();
    }
    if (isOwnedBySelf(fold))
        return std::nullopt;
    const auto since = claimableSince(fold, now);
    const auto ownRank = rank(fold);
    if (!since || !ownRank || now < *since + m_options.delayPerRank * static_cast<int>(*ownRank))
        return std::nullopt;
    if (m_claimedAt && now < *m_claimedAt + m_options.claimRetryDelay)
        return std::nullopt;
    m_claimedAt = now;
    return partition_claim{m_partition, epoch_number(m_seenEpoch.value() + 1), m_self,
                           m_incarnation};
}

} // namespace tamarack
