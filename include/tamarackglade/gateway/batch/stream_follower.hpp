// Continuous reader of one partition of a stream in the store.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gateway/batch/stream_listener.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace tamarack {

/// @brief Options of a stream_follower.
struct follow_options
{
    bool keyed = false; // starts with a snapshot: the newest record of each key
    std::chrono::milliseconds wait{1'500}; // how long the store may hold a read without records
    std::chrono::milliseconds pause{0}; // between reads, so that one read returns several records
    std::chrono::milliseconds maxRetryPause{800}; // after failed reads
};

/// @brief Reads a partition continuously and passes its records to a listener. All calls on the
/// gateway's thread.
class stream_follower
{
public:
    stream_follower(record_store &store, stream_partition partition, follow_options options,
                    stream_listener &listener);

    /// @brief Starts the read loop in a fiber of the calling thread.
    void start();

    /// @brief Sets the pause between reads from now on.
    void setPause(std::chrono::milliseconds pause) { m_options.pause = pause; }

    /// @brief Reads until all records that were stored before since have been delivered. Concurrent
    /// calls share a read, so that each waits for two of them at most.
    /// @return false if the store gave no answer to a read that began after the call
    bool catchUp(time_point since);

    /// @brief The same, but returns false after the limit at the latest.
    bool catchUp(time_point since, duration limit);

    /// @return the position of the next record
    [[nodiscard]] stream_position position() const { return m_position; }
    /// @return whether the partition has been read to its end at least once
    [[nodiscard]] bool ready() const { return m_completeAt.has_value(); }

private:
    void followLoop();
    /// @return how long the store may hold the next read
    [[nodiscard]] std::chrono::milliseconds nextWait() const;
    bool readSnapshot();
    bool readOnce(std::chrono::milliseconds wait);
    void onOtherLog(stream_position end);
    void deliver(stream_position from, const read_reply &reply, time_point sentAt);

    record_store &m_store;
    const stream_partition m_partition;
    follow_options m_options;
    stream_listener &m_listener;
    bool m_needSnapshot;
    stream_position m_position;
    std::optional<time_point> m_completeAt; // all records stored before were delivered
    bool m_lastReadFailed = false;
    bool m_catchingUp = false;
    std::uint64_t m_refreshes = 0; // reads of catchUp() that have begun
    std::uint64_t m_failedRefresh = 0; // the number of the last one that failed; 0 for none
    boost::fibers::mutex m_mutex; // for m_caughtUp only
    boost::fibers::condition_variable m_caughtUp;
};

} // namespace tamarack
