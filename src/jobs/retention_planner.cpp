// Rate-limited copies and snapshots against the retention limit of the log.
#include <tamarackglade/jobs/partition_snapshot.hpp>
#include <tamarackglade/jobs/retention_planner.hpp>

#include <algorithm>

namespace tamarack {

retention_planner::retention_planner(const partition_fold &fold, retention_options options,
                                     log_offset firstRetained)
    : m_fold(fold), m_options(options), m_cursor(firstRetained)
{
}

void retention_planner::setHorizon(log_offset horizon)
{
    m_horizon = std::max(m_horizon, horizon);
}

bool retention_planner::needsSnapshot() const
{
    return std::max(m_fold.lastSnapshot(), m_snapshotAsOf) < m_horizon
           && m_options.mutation != jobs_mutation::SnapshotDropped;
}

std::optional<retention_planner::action> retention_planner::next(time_point now)
{
    if (now < m_nextAppendAt)
        return std::nullopt;
    if (m_pendingAppends.empty() && needsSnapshot()) {
        m_snapshotAsOf = m_fold.position();
        for (auto &part : snapshotBatches(m_fold.snapshot(), m_fold.position(),
                                          m_fold.currentEpoch(), m_options.snapshotPartBytes))
            m_pendingAppends.push_back(std::move(part));
    }
    if (!m_pendingAppends.empty())
        return takeAppend(now);
    if (m_cursor < m_horizon)
        return read_batch{m_cursor};
    return std::nullopt;
}

retention_planner::append_copy retention_planner::takeAppend(time_point now)
{
    append_copy result{std::move(m_pendingAppends.front())};
    m_pendingAppends.pop_front();
    const auto secondsForBytes =
        static_cast<double>(bytesOf(result.batch)) / m_options.maxBytesPerSecond;
    m_nextAppendAt =
        now + fromSeconds(std::max(secondsForBytes, 1 / m_options.maxAppendsPerSecond));
    return result;
}

std::size_t retention_planner::bytesOf(const schema::log_batch_message &batch)
{
    std::size_t bytes = 0;
    for (const auto &record : batch.records) {
        if (const auto *chunk = record->body.Asfile_chunk())
            bytes += chunk->data.size();
        else if (const auto *result = record->body.Asitem_result())
            bytes += result->data.size();
        else if (const auto *part = record->body.Assnapshot_part())
            bytes += part->data.size();
    }
    return bytes;
}

void retention_planner::onBatchRead(log_offset offset, const schema::log_batch_message &batch)
{
    if (offset != m_cursor)
        return;
    m_cursor = log_offset(offset.value() + 1);
    schema::log_batch_message copy;
    copy.record_id = "copy:" + std::to_string(m_fold.currentEpoch().value()) + ":"
                     + std::to_string(offset.value());
    copy.reappended_from = offset.value();
    for (std::uint32_t index = 0; index < batch.records.size(); ++index) {
        const auto &record = batch.records[index];
        if (record && m_fold.isReferenced(record_reference(offset, index), *record))
            copy.records.push_back(std::make_unique<schema::log_record_message>(*record));
    }
    const bool isDropped = m_options.mutation == jobs_mutation::CopyDropped;
    if (!copy.records.empty() && !isDropped)
        m_pendingAppends.push_back(std::move(copy));
}

void retention_planner::onBatchMissing(log_offset offset)
{
    if (offset != m_cursor)
        return;
    m_cursor = log_offset(offset.value() + 1);
    ++m_missingBatches;
}

std::uint64_t retention_planner::backlog() const
{
    return m_cursor < m_horizon ? m_horizon.value() - m_cursor.value() : 0;
}

} // namespace tamarack
