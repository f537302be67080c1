// One partition of batch jobs: its fold, kept current, and appends to it.
#pragma once

#include <tamarackglade/batches/batch_fold.hpp>
#include <tamarackglade/gateway/stream_follower.hpp>

#include <string>
#include <vector>

namespace tamarack {

enum class durable_result {
    Stored, // the record is in the store
    NotStored, // it is not and never will be
    Unknown // it may be, or may come
};

/// @brief Follows a partition. All calls on the gateway's thread.
class batch_partition final : private stream_listener
{
public:
    batch_partition(record_store &store, std::uint32_t number, duration keepTime);

    void start() { m_follower.start(); }
    void tick(time_point now) { m_fold.tick(now); }

    /// @brief Makes sure that the fold holds all records of the time since.
    /// @return false if the store gave no answer
    bool refresh(time_point since) { return m_follower.catchUp(since); }
    /// @return whether the fold holds all records of the time since
    [[nodiscard]] bool completeSince(time_point since) const { return m_fold.completeSince(since); }
    [[nodiscard]] const batch_fold &fold() const { return m_fold; }

    /// @brief Appends records that count only once, whatever their position; repeats until the
    /// store answers or the deadline passes.
    durable_result append(const std::vector<std::string> &records, time_point deadline);

    /// @brief Appends a record only if the partition still ends where the fold does.
    append_reply appendAtEnd(const std::string &record);

private:
    void onRecord(const std::string &record, time_point sentAt) override;
    void onSkipped(stream_position to) override { m_fold.skipTo(to); }
    void onComplete(time_point sentAt) override { m_fold.confirm(sentAt); }

    record_store &m_store;
    const stream_partition m_partition;
    batch_fold m_fold;
    stream_follower m_follower;
};

} // namespace tamarack
