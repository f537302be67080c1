// Appends again what is still needed before it falls out of the log.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/retention_options.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace tamarack {

/// @brief The work of a partition's owner against the log's limited retention.
/// It reads the stream from its oldest record up to a horizon, copies the payloads that the fold
/// still refers to, and writes a snapshot of the fold's state when the last one is older than the
/// horizon. The caller sets the horizon to the offset behind which records have used up, say, half
/// of the retention time; the other half is what outages and pacing may cost.
class retention_planner
{
public:
    /// Read the batch at offset and pass it to onBatchRead.
    struct read_batch
    {
        log_offset offset;
    };
    /// Append this through partition_owner::enqueue.
    struct append_copy
    {
        schema::log_batch_message batch;
    };
    using action = std::variant<read_batch, append_copy>;

    retention_planner(const partition_fold &fold, retention_options options,
                      log_offset firstRetained);

    void setHorizon(log_offset horizon);

    /// @return the next thing to do, if any; call it when the owner has no append queued
    std::optional<action> next(time_point now);
    /// @brief The batch that next asked for was read.
    void onBatchRead(log_offset offset, const schema::log_batch_message &batch);
    /// @brief The batch that next asked for is no longer in the log, or can't be decoded.
    void onBatchMissing(log_offset offset);

    /// @return how many offsets lie between the reader and the horizon
    [[nodiscard]] std::uint64_t backlog() const;
    /// @return batches that were gone before they were read
    [[nodiscard]] std::uint64_t missingCount() const { return m_missingBatches; }

private:
    [[nodiscard]] bool needsSnapshot() const;
    append_copy takeAppend(time_point now);
    static std::size_t bytesOf(const schema::log_batch_message &batch);

    const partition_fold &m_fold;
    retention_options m_options;
    log_offset m_cursor; // the next offset to read
    log_offset m_horizon{0};
    log_offset m_snapshotAsOf{0}; // of the last snapshot that this planner wrote
    std::deque<schema::log_batch_message> m_pendingAppends;
    std::uint64_t m_missingBatches = 0;
    time_point m_nextAppendAt{};
};

} // namespace tamarack
