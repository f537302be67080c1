// Appends of the partition owner: group commits, expiries and the end of a handover.
#include <tamarackglade/jobs/partition_owner.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::uint64_t ExpiryScanIntervalS = 5;

} // namespace

void partition_owner::pump(time_point now, owner_actions &out)
{
    if (!m_active)
        return;
    startItems(now, out);
    commit(now, out);
}

void partition_owner::commit(time_point now, owner_actions &out)
{
    // Results wait while an append is in progress, so that the next append contains more of them.
    const bool isDue = m_results.isDue(now) || (m_handingOver && m_results.size() > 0);
    if (isDue && m_appends.isEmpty())
        pushResults();
    if (auto batch = m_appends.next(now))
        out.emplace_back(append_batch{m_stream, std::move(*batch)});
    const bool isDone = m_attempts.size() == 0 && m_results.size() == 0 && m_appends.isEmpty();
    if (m_handingOver && !m_released && isDone) {
        m_released = true;
        out.emplace_back(released_partition{m_partition, m_epoch});
    }
}

schema::log_batch_message partition_owner::newBatch()
{
    ++m_lastBatchNumber;
    schema::log_batch_message batch;
    batch.record_id = "owner:" + m_vm.value() + ":" + std::to_string(m_incarnation.value()) + ":"
                      + std::to_string(m_epoch.value()) + ":" + std::to_string(m_lastBatchNumber);
    batch.written_at_s = m_wallS;
    return batch;
}

void partition_owner::pushResults()
{
    auto batch = newBatch();
    auto &items = m_batchItems[batch.record_id];
    for (auto &result : m_results.take()) {
        items.push_back({job_id(result.job_id), item_index(result.item)});
        addRecord(batch, std::move(result));
    }
    m_appends.push(std::move(batch));
}

void partition_owner::expire()
{
    if (m_wallS < m_nextExpiryScanS || !m_appends.isEmpty())
        return;
    m_nextExpiryScanS = m_wallS + ExpiryScanIntervalS;
    expireJobs();
    expireFiles();
}

void partition_owner::expireJobs()
{
    auto batch = newBatch();
    for (const auto &[id, job] : m_fold.jobs()) {
        const auto retainedFromS = std::max(job.dueAtS(), job.endedAtS);
        const bool isDue = job.isEnded() && m_wallS >= retainedFromS + m_options.resultRetentionS;
        if (!isDue || !m_jobsExpiring.insert(id).second)
            continue;
        schema::job_expired_message record;
        record.job_id = id.value();
        record.epoch = m_epoch.value();
        addRecord(batch, std::move(record));
    }
    if (!batch.records.empty())
        m_appends.push(std::move(batch));
}

void partition_owner::expireFiles()
{
    auto batch = newBatch();
    std::unordered_map<file_id, std::uint64_t> unused;
    for (const auto &[id, file] : m_fold.files()) {
        if (m_fold.isFileUsed(id))
            continue;
        const auto seen = m_unusedSinceS.find(id);
        const auto since = seen == m_unusedSinceS.end() ? m_wallS : seen->second;
        unused.emplace(id, since);
        if (m_wallS < since + m_options.unusedFileRetentionS)
            continue;
        schema::file_expired_message record;
        record.file_id = id.value();
        record.epoch = m_epoch.value();
        addRecord(batch, std::move(record));
    }
    m_unusedSinceS = std::move(unused);
    if (!batch.records.empty())
        m_appends.push(std::move(batch));
}

} // namespace tamarack
