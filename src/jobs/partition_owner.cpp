// Event handlers of the partition owner.
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/jobs/partition_owner.hpp>

#include <algorithm>

namespace tamarack {

partition_owner::partition_owner(const partition_fold &fold, owner_options options, time_point now)
    : m_fold(fold), m_options(options), m_partition(fold.partition()), m_epoch(fold.currentEpoch()),
      m_vm(fold.ownerVm()), m_incarnation(fold.ownerIncarnation()),
      m_stream(jobStreamName(fold.partition())), m_tailConfirmedAt(now), m_scheduler(fold),
      m_results(options.groupCommit), m_appends(options.appendRetryDelay, options.appendTimeout)
{
    for (const auto &[id, job] : fold.jobs()) {
        if (!job.isEnded())
            m_scheduler.addJob(job);
    }
}

void partition_owner::onFolded(const fold_changes &changes, time_point now, owner_actions &out)
{
    if (!m_active)
        return;
    if (m_fold.currentEpoch() != m_epoch) {
        onOwnershipLost(out);
        return;
    }
    onBatchFolded(changes.recordId);
    for (const auto &job : changes.jobsAccepted)
        m_scheduler.addJob(*m_fold.job(job));
    if (m_options.mutation != jobs_mutation::CancelIgnored) {
        for (const auto &job : changes.jobsEnded)
            stopJob(job, out);
    }
    for (const auto &job : changes.jobsRemoved)
        m_jobsExpiring.erase(job);
    pump(now, out);
}

void partition_owner::onBatchFolded(const std::string &recordId)
{
    if (!m_appends.onFolded(recordId))
        return;
    const auto items = m_batchItems.find(recordId);
    if (items == m_batchItems.end())
        return;
    for (const auto &item : items->second) {
        const auto held = m_uncommitted.find(item);
        m_uncommittedBytes -= held->second;
        m_uncommitted.erase(held);
        m_retries.erase(item);
    }
    m_batchItems.erase(items);
}

void partition_owner::onOwnershipLost(owner_actions &out)
{
    m_active = false;
    for (const auto &attempt : m_attempts.all())
        out.emplace_back(cancel_attempt{attempt, m_attempts.at(attempt).upstream});
    m_attempts = {};
    out.emplace_back(lost_partition{m_partition, m_epoch});
}

// Cancels the attempts of a job and drops its retries and the results that are not yet in a batch.
void partition_owner::stopJob(const job_id &job, owner_actions &out)
{
    m_scheduler.removeJob(job);
    m_suspects.dropJob(job);
    if (m_reservedSuspect && m_reservedSuspect->item.job == job)
        releaseReservation();
    for (const auto &attempt : m_attempts.ofJob(job)) {
        out.emplace_back(cancel_attempt{attempt, m_attempts.at(attempt).upstream});
        endAttempt(attempt);
    }
    m_results.dropJob(job);
    std::unordered_set<item_key> queued;
    for (const auto &[id, items] : m_batchItems)
        queued.insert(items.begin(), items.end());
    std::erase_if(m_uncommitted, [&](const auto &held) {
        const bool isDropped = held.first.job == job && !queued.contains(held.first);
        m_uncommittedBytes -= isDropped ? held.second : 0;
        return isDropped;
    });
    std::erase_if(m_retries, [&](const auto &entry) { return entry.first.job == job; });
}

void partition_owner::onTailConfirmed(time_point now, owner_actions &out)
{
    m_tailConfirmedAt = std::max(m_tailConfirmedAt, now);
    pump(now, out);
}

void partition_owner::onOutageConfirmed(time_point now, owner_actions &out)
{
    if (now - m_tailConfirmedAt <= m_options.maxTailAge)
        onTailConfirmed(now, out);
}

void partition_owner::onCredits(const upstream_id &upstream, const model_id &model,
                                std::uint32_t items, time_point now, owner_actions &out)
{
    m_credits[upstream] = {model, items};
    const bool isUnusable = items == 0 && m_attempts.countOn(upstream) == 0;
    if (isUnusable && m_reservedUpstream == upstream && m_reservedSuspect) {
        auto suspect = *m_reservedSuspect;
        suspect.readyAt = now + m_options.notStartedBackoff;
        releaseReservation();
        m_suspects.add(std::move(suspect));
    }
    pump(now, out);
}

std::optional<running_attempt> partition_owner::endAttempt(const attempt_id &attempt)
{
    auto ended = m_attempts.remove(attempt);
    if (ended && ended->alone && m_reservedUpstream == ended->upstream)
        releaseReservation();
    return ended;
}

void partition_owner::onAttemptResult(const attempt_id &attempt, attempt_outcome outcome,
                                      std::vector<std::uint8_t> data, const std::string &customId,
                                      time_point now, owner_actions &out)
{
    if (!m_active)
        return;
    const auto ended = endAttempt(attempt);
    if (!ended) {
        if (outcome == attempt_outcome::Succeeded)
            onLateSuccess(attempt, std::move(data), customId, now);
        pump(now, out);
        return;
    }
    switch (outcome) {
    case attempt_outcome::Succeeded:
        recordResult(ended->item, schema::item_outcome::Succeeded, std::move(data), customId, now);
        break;
    case attempt_outcome::Rejected:
        recordResult(ended->item, schema::item_outcome::Failed, std::move(data), customId, now);
        break;
    case attempt_outcome::Transient:
        retryAfterFailure(*ended, customId, now);
        break;
    case attempt_outcome::WorkerLost:
        retryAfterCrash(*ended, customId, now);
        break;
    case attempt_outcome::NotStarted:
    case attempt_outcome::Cancelled:
        retryWithoutCounting(*ended, now);
        break;
    }
    pump(now, out);
}

void partition_owner::onLateSuccess(const attempt_id &attempt, std::vector<std::uint8_t> data,
                                    const std::string &customId, time_point now)
{
    const auto name = attempt_name::parse(attempt);
    if (name && name->epoch == m_epoch)
        recordResult(name->item, schema::item_outcome::Succeeded, std::move(data), customId, now);
}

void partition_owner::onAppendResult(const std::string &recordId, append_outcome outcome,
                                     time_point now, owner_actions &out)
{
    m_appends.onResult(recordId, outcome, now);
    pump(now, out);
}

void partition_owner::onCustomerWeight(const customer_id &customer, std::uint32_t weight)
{
    m_scheduler.setWeight(customer, weight);
}

void partition_owner::tick(time_point now, std::uint64_t wallS, owner_actions &out)
{
    if (!m_active)
        return;
    m_wallS = std::max(m_wallS, wallS);
    for (const auto &attempt : m_attempts.startedBy(now - m_options.attemptTimeout))
        timeOutAttempt(attempt, now, out);
    expire();
    pump(now, out);
}

void partition_owner::timeOutAttempt(const attempt_id &attempt, time_point now, owner_actions &out)
{
    const auto ended = endAttempt(attempt);
    out.emplace_back(cancel_attempt{attempt, ended->upstream});
    retryAfterFailure(*ended, {}, now);
}

void partition_owner::enqueue(schema::log_batch_message batch, time_point now, owner_actions &out)
{
    m_appends.push(std::move(batch));
    pump(now, out);
}

void partition_owner::beginHandover(time_point now, owner_actions &out)
{
    m_handingOver = true;
    pump(now, out);
}

std::optional<time_point> partition_owner::nextDeadline()
{
    std::optional<time_point> first;
    const auto consider = [&](std::optional<time_point> when) {
        if (when && (!first || *when < *first))
            first = when;
    };
    consider(m_appends.isEmpty() ? m_results.nextDeadline() : m_appends.nextDeadline());
    consider(m_scheduler.nextRetry());
    consider(m_suspects.nextReady());
    if (const auto oldest = m_attempts.oldestStart())
        consider(*oldest + m_options.attemptTimeout);
    return first;
}

} // namespace tamarack
