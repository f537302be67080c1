// Items of the partition owner: starts, retries and final results.
#include <tamarackglade/jobs/partition_owner.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::uint32_t MaxBackoffDoublings = 8;

} // namespace

bool partition_owner::isOpen(const item_key &item) const
{
    const auto *job = m_fold.job(item.job);
    if (!job || item.item.value() >= job->itemCount() || job->hasResult(item.item))
        return false;
    const bool isStopped = job->isEnded() && m_options.mutation != jobs_mutation::CancelIgnored;
    return !isStopped && !m_uncommitted.contains(item);
}

void partition_owner::recordResult(const item_key &item, schema::item_outcome outcome,
                                   std::vector<std::uint8_t> data, const std::string &customId,
                                   time_point now)
{
    if (!isOpen(item))
        return;
    schema::item_result_message result;
    result.job_id = item.job.value();
    result.item = item.item.value();
    result.epoch = m_epoch.value();
    result.outcome = outcome;
    result.custom_id = customId;
    result.data = std::move(data);
    m_uncommitted.emplace(item, result.data.size());
    m_uncommittedBytes += result.data.size();
    m_results.add(std::move(result), now);
}

void partition_owner::recordError(const item_key &item, std::string_view code,
                                  const std::string &customId, time_point now)
{
    const auto text = R"({"error":{"code":")" + std::string(code) + R"("}})";
    recordResult(item, schema::item_outcome::Failed, {text.begin(), text.end()}, customId, now);
}

item_retries &partition_owner::retriesOf(const running_attempt &attempt)
{
    auto &retries = m_retries[attempt.item];
    retries.started = std::max(retries.started, attempt.number);
    retries.lastUpstream = attempt.upstream;
    return retries;
}

duration partition_owner::backoff(std::uint32_t tries) const
{
    return m_options.retryBackoff * (1U << std::min(tries - 1, MaxBackoffDoublings));
}

void partition_owner::scheduleRetry(const item_key &item, const item_retries &retries,
                                    time_point readyAt)
{
    if (!isOpen(item))
        return;
    if (retries.crashes == 0)
        m_scheduler.retry(item, readyAt);
    else
        m_suspects.add({item, m_fold.job(item.job)->model, retries.lastUpstream, readyAt});
}

void partition_owner::retryWithoutCounting(const running_attempt &attempt, time_point now)
{
    scheduleRetry(attempt.item, retriesOf(attempt), now + m_options.notStartedBackoff);
}

void partition_owner::retryAfterFailure(const running_attempt &attempt, const std::string &customId,
                                        time_point now)
{
    auto &retries = retriesOf(attempt);
    ++retries.failures;
    if (retries.failures >= m_options.maxFailures)
        recordError(attempt.item, "attempts_exhausted", customId, now);
    else
        scheduleRetry(attempt.item, retries, now + backoff(retries.failures));
}

// A crash with several items running does not show which one caused it. Therefore an item fails for
// good only on a crash while it ran alone.
void partition_owner::retryAfterCrash(const running_attempt &attempt, const std::string &customId,
                                      time_point now)
{
    auto &retries = retriesOf(attempt);
    ++retries.crashes;
    if (attempt.alone && retries.crashes >= m_options.maxCrashes)
        recordError(attempt.item, "worker_lost", customId, now);
    else
        scheduleRetry(attempt.item, retries, now + backoff(retries.crashes));
}

bool partition_owner::mayStart(time_point now) const
{
    const bool isUpToDate = now - m_tailConfirmedAt <= m_options.maxTailAge;
    const bool isWithinLimits = m_attempts.size() + m_uncommitted.size() < m_options.maxUncommitted
                                && m_uncommittedBytes < m_options.maxUncommittedBytes;
    return m_active && !m_handingOver && isUpToDate && isWithinLimits;
}

void partition_owner::startItems(time_point now, owner_actions &out)
{
    if (!mayStart(now))
        return;
    reserveForSuspect(now);
    startSuspect(now, out);
    std::set<model_id> modelsWithoutItems;
    while (mayStart(now) && startOnNextUpstream(now, modelsWithoutItems, out)) { }
}

// Prefers upstreams other than the one where the suspect's worker process ended, then those with
// the fewest running attempts.
std::optional<upstream_id> partition_owner::upstreamFor(const suspect_queue::suspect &item) const
{
    std::optional<upstream_id> best;
    const auto cost = [&](const upstream_id &upstream) {
        return std::pair(upstream == item.lastUpstream, m_attempts.countOn(upstream));
    };
    for (const auto &[upstream, credit] : m_credits) {
        const bool isUsable = credit.model == item.model && credit.items > 0;
        if (isUsable && (!best || cost(upstream) < cost(*best)))
            best = upstream;
    }
    return best;
}

void partition_owner::reserveForSuspect(time_point now)
{
    if (m_reservedUpstream)
        return;
    const auto canRun = [&](const suspect_queue::suspect &item) {
        return upstreamFor(item).has_value();
    };
    m_reservedSuspect = m_suspects.take(now, canRun);
    if (m_reservedSuspect)
        m_reservedUpstream = upstreamFor(*m_reservedSuspect);
}

void partition_owner::releaseReservation()
{
    m_reservedUpstream.reset();
    m_reservedSuspect.reset();
}

void partition_owner::startSuspect(time_point now, owner_actions &out)
{
    if (!m_reservedSuspect)
        return;
    if (!isOpen(m_reservedSuspect->item)) {
        releaseReservation();
        return;
    }
    if (m_attempts.countOn(*m_reservedUpstream) > 0 || m_credits[*m_reservedUpstream].items == 0)
        return;
    const auto item = m_reservedSuspect->item;
    m_reservedSuspect.reset();
    start(item, *m_reservedUpstream, true, now, out);
}

// Serves the upstreams round robin, so that none is filled before the others get an item.
bool partition_owner::startOnNextUpstream(time_point now, std::set<model_id> &modelsWithoutItems,
                                          owner_actions &out)
{
    auto entry = m_credits.upper_bound(m_lastUpstream);
    for (std::size_t tried = 0; tried < m_credits.size(); ++tried) {
        if (entry == m_credits.end())
            entry = m_credits.begin();
        const auto upstream = entry->first;
        ++entry;
        if (startOn(upstream, now, modelsWithoutItems, out)) {
            m_lastUpstream = upstream;
            return true;
        }
    }
    return false;
}

bool partition_owner::startOn(const upstream_id &upstream, time_point now,
                              std::set<model_id> &modelsWithoutItems, owner_actions &out)
{
    const auto &credit = m_credits.at(upstream);
    if (credit.items == 0 || m_reservedUpstream == upstream
        || modelsWithoutItems.contains(credit.model))
        return false;
    while (const auto item = m_scheduler.next(credit.model, now)) {
        if (!isOpen(*item))
            continue;
        start(*item, upstream, false, now, out);
        return true;
    }
    modelsWithoutItems.insert(credit.model);
    return false;
}

void partition_owner::start(const item_key &item, const upstream_id &upstream, bool alone,
                            time_point now, owner_actions &out)
{
    const auto earlier = m_retries.find(item);
    const auto number = earlier == m_retries.end() ? 1 : earlier->second.started + 1;
    const auto attempt = attempt_name{item, m_epoch, number}.toId();
    --m_credits.at(upstream).items;
    m_attempts.add(attempt, {item, upstream, alone, number, now});
    out.emplace_back(start_item{attempt, item, *m_fold.inputOf(item), upstream, alone});
}

} // namespace tamarack
