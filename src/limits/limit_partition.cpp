// Fold, lease and claims of one limit partition.
#include <tamarackglade/limits/limit_partition.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

limit_partition::limit_partition(const limit_options &options, partition_id partition,
                                 time_point now)
    : m_options(&options), m_partition(partition), m_recordReadAt(now), m_lease(options),
      m_nextClaimAt(now), m_claimBackoff(options.claimBackoff)
{
}

bool limit_partition::onClaim(const schema::home_claimed_message &claim,
                              const entry_membership &membership, time_point now)
{
    if (m_record && claim.epoch != m_record->epoch.value() + 1)
        return false;
    fold(home_record::fromClaim(claim, m_record || claim.epoch == 1), membership, now);
    return true;
}

bool limit_partition::onPeerRecord(const home_record &record, const entry_membership &membership,
                                   time_point now)
{
    const bool isNewer = !m_record || record.epoch > m_record->epoch;
    const bool addsChain = m_record && record.epoch == m_record->epoch && !m_record->chained;
    // An unchained record may be of a claim that lost, so it is used only if there is no other.
    if (m_record && !(record.chained && (isNewer || addsChain)))
        return false;
    const bool isNext = m_record && record.epoch.value() == m_record->epoch.value() + 1;
    if (!isNext && m_options->mutation != limit_mutation::PeerHomeKeepsBuckets) {
        // Another entry may have been home in the epochs between.
        m_isHome = false;
        m_lastAckAt.reset();
        m_ackedSettled = false;
    }
    fold(record, membership, now);
    return true;
}

void limit_partition::fold(home_record record, const entry_membership &membership, time_point now)
{
    const auto before = std::exchange(m_record, std::move(record));
    const bool isSelf = m_record->chained && m_record->home == membership.self();
    const bool wasHome = std::exchange(m_isHome, isSelf);
    m_becameHome = m_isHome && !wasHome;
    if (m_becameHome)
        startAsHome(now);
    if (m_isHome)
        m_lease.restart(now);
    if (!before || before->home != m_record->home)
        m_claimBackoff = m_options->claimBackoff;
    m_recordReadAt = now;
    m_lastAckAt.reset();
    m_ackedSettled = false;
    m_vacantSince.reset();
}

void limit_partition::startAsHome(time_point now)
{
    const duration leaseWait = m_options->stretched(m_options->leaseDuration);
    const duration loanWait = m_options->stretched(m_options->loanLifetime);
    const bool first = m_record->epoch == epoch_number(1);
    // From stoppedAt on, no earlier home lends.
    const bool noEarlierLending = first || m_record->handedOver;
    const time_point stoppedAt =
        noEarlierLending ? now : std::max(now, m_lastAckAt.value_or(now) + leaseWait);
    m_settledAt = first ? now : stoppedAt + loanWait;
    // Only a settled home's loans are known to be at most half the burst.
    const bool wasSettled = m_ackedSettled || (m_record->handedOver && m_record->settled);
    m_lendingStart = wasSettled ? stoppedAt : m_settledAt;
    m_wasLending = false;
    m_wasSettled = false;
    if (m_options->mutation == limit_mutation::NewHomeStartsFull)
        m_lendingStart = m_settledAt = now;
}

std::optional<schema::lease_ack_message>
limit_partition::onPing(const vm_id &from, const schema::lease_ping_message &ping,
                        const entry_membership &membership, time_point now)
{
    if (!m_record || m_record->epoch != epoch_number(ping.epoch) || m_record->home.vm != from
        || !isSuccessor(membership))
        return std::nullopt;
    m_lastAckAt = now;
    m_ackedSettled = m_ackedSettled || ping.settled;
    m_claimBackoff = m_options->claimBackoff;
    schema::lease_ack_message ack;
    ack.partition = ping.partition;
    ack.epoch = ping.epoch;
    ack.sequence = ping.sequence;
    return ack;
}

void limit_partition::onAck(const vm_id &from, const schema::lease_ack_message &ack)
{
    if (!m_isHome || m_record->epoch != epoch_number(ack.epoch) || m_record->successor.vm != from)
        return;
    m_lease.acknowledge(ack.sequence);
    m_claimBackoff = m_options->claimBackoff;
}

void limit_partition::onAppendFailed(epoch_number epoch, time_point now)
{
    const epoch_number next(m_record ? m_record->epoch.value() + 1 : 1);
    if (epoch == next)
        m_nextClaimAt = std::min(m_nextClaimAt, now + m_options->claimBackoff);
}

void limit_partition::poll(entry_membership &membership, bool logReachable, time_point now,
                           std::vector<limit_action> &out)
{
    if (m_isHome && !m_leaving)
        pingIfDue(now, out);
    if (!logReachable)
        return;
    if (m_leaving)
        pollAsLeaving(membership, now, out);
    else if (m_isHome)
        pollAsHome(membership, now, out);
    else if (isSuccessor(membership))
        pollAsSuccessor(membership, now, out);
    else
        pollAsOther(membership, now, out);
}

void limit_partition::pingIfDue(time_point now, std::vector<limit_action> &out)
{
    if (!m_record->hasSuccessor() || !m_lease.isPingDue(now))
        return;
    schema::lease_ping_message ping;
    ping.partition = m_partition.value();
    ping.epoch = m_record->epoch.value();
    ping.sequence = m_lease.sendPing(now);
    ping.settled = now >= m_settledAt;
    out.emplace_back(send_limit_message{m_record->successor.vm, ping});
}

void limit_partition::pollAsHome(entry_membership &membership, time_point now,
                                 std::vector<limit_action> &out)
{
    const vm_id successor = m_record->successor.vm;
    if (!m_record->hasSuccessor()) {
        const auto candidate =
            membership.chooseSuccessor(m_partition, membership.self().vm, successor, now);
        if (candidate && beginClaim(now))
            out.emplace_back(append_claim{makeClaim(membership.self(), candidate)});
    } else if (!membership.isCandidate(successor)) {
        claimExcluding(successor, membership, now, out);
    } else if (m_lease.isSuccessorSilent(now)
               || membership.hasEnded(m_record->successor, m_recordReadAt)) {
        membership.suspect(m_record->successor, now + m_options->suspicionDuration);
        claimExcluding(successor, membership, now, out);
    }
    if (now >= m_recordReadAt + m_options->renewInterval && beginClaim(now))
        out.emplace_back(append_claim{makeClaim(membership.self(), m_record->successor)});
}

void limit_partition::pollAsSuccessor(entry_membership &membership, time_point now,
                                      std::vector<limit_action> &out)
{
    const duration leaseWait = m_options->stretched(m_options->leaseDuration);
    const bool lapsed = m_lastAckAt && now >= *m_lastAckAt + leaseWait;
    if (!lapsed && !membership.hasEnded(m_record->home, m_recordReadAt))
        return;
    membership.suspect(m_record->home, now + m_options->suspicionDuration);
    claimExcluding(m_record->home.vm, membership, now, out);
}

void limit_partition::pollAsOther(const entry_membership &membership, time_point now,
                                  std::vector<limit_action> &out)
{
    const bool vacant = !m_record
                        || (membership.hasEnded(m_record->home, m_recordReadAt)
                            && (!m_record->hasSuccessor()
                                || membership.hasEnded(m_record->successor, m_recordReadAt)));
    // The rank costs a hash of each entry, so it is computed only for a vacant partition.
    const auto rank = vacant ? membership.rank(m_partition) : std::nullopt;
    if (!rank) {
        m_vacantSince.reset();
        return;
    }
    if (!m_vacantSince)
        m_vacantSince = now;
    if (now >= *m_vacantSince + m_options->claimStagger * (*rank + 1))
        claimExcluding(vm_id(), membership, now, out);
}

void limit_partition::handOver(const entry_membership &membership, time_point now,
                               std::vector<limit_action> &out)
{
    if (m_leaving)
        return;
    m_wasLending = mayLend(now);
    m_wasSettled = m_wasLending && now >= m_settledAt;
    m_leaving = true;
    m_nextClaimAt = now;
    m_claimBackoff = m_options->claimBackoff;
    pollAsLeaving(membership, now, out);
}

bool limit_partition::mustHandOver(const entry_membership &membership, bool logReachable) const
{
    const auto next = m_isHome ? handOverTarget(membership) : std::nullopt;
    if (!next || logReachable)
        return next.has_value();
    // A successor that never acknowledged a ping may claim only when the VM list lacks this entry.
    const bool claimsByItself = *next == m_record->successor && m_lease.wasAcknowledged();
    return membership.isCandidate(next->vm) && !claimsByItself;
}

void limit_partition::pollAsLeaving(const entry_membership &membership, time_point now,
                                    std::vector<limit_action> &out)
{
    if (!m_isHome)
        return;
    const auto next = handOverTarget(membership);
    if (!next || !beginClaim(now))
        return;
    auto message =
        makeClaim(*next, membership.chooseSuccessor(m_partition, next->vm, vm_id(), now));
    message.handed_over = m_wasLending;
    message.settled = m_wasSettled;
    out.emplace_back(append_claim{std::move(message)});
}

// No other entry may take over from a home without a successor, so even a suspect is better than
// none.
std::optional<live_entry> limit_partition::handOverTarget(const entry_membership &membership) const
{
    if (m_record->hasSuccessor() && membership.isCandidate(m_record->successor.vm))
        return m_record->successor;
    return membership.chooseHandOverTarget(m_partition);
}

bool limit_partition::mayLend(time_point now) const
{
    if (!m_isHome || m_leaving || now < m_lendingStart)
        return false;
    return !m_record->hasSuccessor() || m_lease.isHeld(now)
           || m_options->mutation == limit_mutation::HomeIgnoresLease;
}

bool limit_partition::beginClaim(time_point now)
{
    if (now < m_nextClaimAt)
        return false;
    m_nextClaimAt = now + m_claimBackoff;
    m_claimBackoff = std::min(m_claimBackoff * 2, m_options->maxClaimBackoff);
    return true;
}

void limit_partition::claimExcluding(const vm_id &excluded, const entry_membership &membership,
                                     time_point now, std::vector<limit_action> &out)
{
    if (!beginClaim(now))
        return;
    const auto successor =
        membership.chooseSuccessor(m_partition, membership.self().vm, excluded, now);
    out.emplace_back(append_claim{makeClaim(membership.self(), successor)});
}

schema::home_claimed_message
limit_partition::makeClaim(const live_entry &home, const std::optional<live_entry> &successor) const
{
    schema::home_claimed_message message;
    message.partition = m_partition.value();
    message.epoch = m_record ? m_record->epoch.value() + 1 : 1;
    message.vm = home.vm.value();
    message.incarnation = home.incarnation.value();
    if (successor) {
        message.successor = successor->vm.value();
        message.successor_incarnation = successor->incarnation.value();
    }
    return message;
}

bool limit_partition::isSuccessor(const entry_membership &membership) const
{
    return m_record && m_record->chained && m_record->successor == membership.self();
}

} // namespace tamarack
