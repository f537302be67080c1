// One partition of batch jobs: an up-to-date fold of its records, and appends to it.
#pragma once

#include <tamarackglade/batches/batch_fold.hpp>
#include <tamarackglade/gateway/batch/stream_follower.hpp>

#include <string>
#include <vector>

namespace tamarack {

enum class durable_result {
    Stored, // the record is in the store
    NotStored, // the record is not in the store and never will be
    Unknown // the record may be in the store, or may still arrive there
};

/// @brief Follows a partition of the batch stream. All calls on the gateway's thread.
class batch_partition final : private stream_listener
{
public:
    batch_partition(record_store &store, std::uint32_t number, duration keepTime);

    void start() { m_follower.start(); }
    void tick(time_point now) { m_fold.tick(now); }
    /// @brief Sets whether the store has so many readers that each of them reads less often.
    void setLargeFleet(bool isLarge) { m_follower.setPause(isLarge ? LargeFleetPause : PollPause); }

    /// @brief Reads until the fold holds all records that were stored before since.
    /// @return false if the store gave no answer
    bool refresh(time_point since) { return m_follower.catchUp(since); }
    /// @return whether the fold holds all records that were stored before since
    [[nodiscard]] bool completeSince(time_point since) const { return m_fold.completeSince(since); }
    [[nodiscard]] const batch_fold &fold() const { return m_fold; }

    /// @brief Appends idempotent records, at any position. Repeats until the store confirms it or
    /// the deadline passes.
    durable_result append(const std::vector<std::string> &records, time_point deadline);

    /// @brief Appends a record only if the fold holds all records of the partition.
    append_reply appendAtEnd(const std::string &record);

private:
    // Records come several times a second; reading several at once saves calls to the store.
    static constexpr std::chrono::milliseconds PollPause{150};
    static constexpr std::chrono::milliseconds LargeFleetPause{300};

    void onRecord(const std::string &record, time_point sentAt) override;
    void onSkipped(stream_position to) override { m_fold.skipTo(to); }
    void onComplete(time_point sentAt) override { m_fold.confirm(sentAt); }

    record_store &m_store;
    const stream_partition m_partition;
    batch_fold m_fold;
    stream_follower m_follower;
};

} // namespace tamarack
