// Calls with an Idempotency-Key of one partition in an entry.
#pragma once

#include <tamarackglade/calls/keyed_call_tracker.hpp>
#include <tamarackglade/entry/keyed_answer.hpp>
#include <tamarackglade/entry/keyed_verdict.hpp>
#include <tamarackglade/entry/record_appender.hpp>
#include <tamarackglade/platform/log_tailer.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace tamarack {

/// @brief Reads the partition's stream from the first claim on and executes the tracker's actions.
/// Used on the control thread only; the references outlive the thread.
class keyed_partition
{
public:
    keyed_partition(io_thread &thread, platform_client &platform, metric_registry &metrics,
                    partition_id partition);

    /// @brief Claims the request's key; the calling fiber waits for the log.
    keyed_verdict claim(const keyed_request &request);

    /// @brief Stores the result of a call that claim allowed to run; waits for the log for at most
    /// FinishTimeout.
    void finish(const request_id &request, const keyed_answer &answer);

    /// @return whether all records are in the log
    [[nodiscard]] bool isIdle() const { return m_appender.isIdle(); }

private:
    using verdict_promise = boost::fibers::promise<keyed_verdict>;

    void startTail();
    void onRead(const log_read &read, bool caughtUp);
    void onGap(log_offset firstRetained);
    void applyEntry(const log_entry &entry);
    /// @brief Reads the offset of the stream's end and waits until the fold has reached it.
    /// @return false if the log can't be read or the fold is not there within FoldTimeout
    bool foldToEnd();
    bool waitForFold(time_point deadline, const std::function<bool()> &reached);
    /// @return the number of the last record added to the appender, or 0 if there was none
    std::uint64_t perform(keyed_actions actions);
    void settle(const request_id &request, keyed_verdict verdict);
    keyed_verdict withStoredBody(replay_answer replay);

    io_thread &m_thread;
    platform_client &m_platform;
    const std::string m_stream;
    // Without the answers' bodies, which are read from the log for a replay.
    idempotency_index m_index;
    keyed_call_tracker m_tracker;
    record_appender m_appender;
    std::unique_ptr<log_tailer> m_tailer; // null before the first call
    log_offset m_next{1}; // the first offset that is not folded
    bool m_caughtUp = false; // the fold has reached the stream's end at least once
    bool m_reachable = true;
    boost::fibers::mutex m_mutex; // used by m_folded only
    // Signals changes of m_next, m_caughtUp and m_reachable.
    boost::fibers::condition_variable m_folded;
    std::unordered_map<std::string, verdict_promise> m_waiting; // by request id
};

} // namespace tamarack
