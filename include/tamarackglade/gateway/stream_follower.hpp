// Follows one partition of a stream in the store.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gateway/stream_listener.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <optional>

namespace tamarack {

/// @brief How a stream is followed.
struct follow_options
{
    bool keyed = false; // begins with the newest record of each key
    std::chrono::milliseconds wait{1'500}; // of a read without records, at the store
    std::chrono::milliseconds pause{0}; // between reads, so that records are read together
    std::chrono::milliseconds maxRetryPause{800}; // after reads that failed
};

/// @brief Reads a partition for ever and passes its records on. All calls on the gateway's thread.
class stream_follower
{
public:
    stream_follower(record_store &store, stream_partition partition, follow_options options,
                    stream_listener &listener);

    /// @brief Starts to read in a fiber of the calling thread.
    void start();

    /// @brief Waits until all records of the time since have been taken; reads at once if they
    /// haven't. Calls at the same time share a read.
    /// @return false if the store gave no answer
    bool catchUp(time_point since);

    /// @return the position of the next record
    [[nodiscard]] stream_position position() const { return m_position; }
    /// @return whether the partition was read to its end once
    [[nodiscard]] bool ready() const { return m_completeAt.has_value(); }

private:
    void followLoop();
    /// @return the time that the store may wait for a record
    [[nodiscard]] std::chrono::milliseconds nextWait() const;
    bool readSnapshot();
    bool readOnce(std::chrono::milliseconds wait);
    void deliver(stream_position from, const read_reply &reply, time_point sentAt);

    record_store &m_store;
    const stream_partition m_partition;
    const follow_options m_options;
    stream_listener &m_listener;
    bool m_needSnapshot;
    stream_position m_position;
    std::optional<time_point> m_completeAt; // all records of that time were delivered
    bool m_lastReadFailed = false; // the last read
    bool m_catchingUp = false;
    boost::fibers::mutex m_mutex; // for m_caughtUp only
    boost::fibers::condition_variable m_caughtUp;
};

} // namespace tamarack
