// Copies live records to the end of the log before their retention ends.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/retention_options.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace tamarack {

/// @brief Plans the appends that keep a partition's state despite the limited retention of the log.
/// It reads the stream from the oldest record up to a horizon, copies the payloads to which the
/// fold still refers, and writes a snapshot of the fold when the last one is older than the
/// horizon. The caller sets the horizon to an offset before which records have reached, for
/// example, half of their retention time; the other half is a reserve for outages and rate
/// limiting.
class retention_planner
{
public:
    /// @brief Read the batch at offset and pass it to onBatchRead.
    struct read_batch
    {
        log_offset offset;
    };
    /// @brief Append the batch through partition_owner::enqueue.
    struct append_copy
    {
        schema::log_batch_message batch;
    };
    using action = std::variant<read_batch, append_copy>;

    retention_planner(const partition_fold &fold, retention_options options,
                      log_offset firstRetained);

    /// @brief Sets the offset up to which records are copied; a lower value than before is ignored.
    void setHorizon(log_offset horizon);

    /// @return the next action, if any; call it when the owner has no queued append
    std::optional<action> next(time_point now);
    /// @brief Handles the batch of a read_batch action.
    void onBatchRead(log_offset offset, const schema::log_batch_message &batch);
    /// @brief Skips the batch of a read_batch action that is no longer in the log or cannot be
    /// decoded.
    void onBatchMissing(log_offset offset);

    /// @return the number of offsets before the horizon that were not read yet
    [[nodiscard]] std::uint64_t backlog() const;
    /// @return the number of batches that could not be read
    [[nodiscard]] std::uint64_t missingCount() const { return m_missingBatches; }

private:
    [[nodiscard]] bool needsSnapshot() const;
    append_copy takeAppend(time_point now);
    static std::size_t bytesOf(const schema::log_batch_message &batch);

    const partition_fold &m_fold;
    retention_options m_options;
    log_offset m_cursor; // the next offset to read
    log_offset m_horizon{0};
    log_offset m_snapshotAsOf{0}; // state offset of the last snapshot by this planner
    std::deque<schema::log_batch_message> m_pendingAppends;
    std::uint64_t m_missingBatches = 0;
    time_point m_nextAppendAt{};
};

} // namespace tamarack
