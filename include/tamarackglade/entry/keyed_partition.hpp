// The calls with an Idempotency-Key of one partition in an entry.
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

/// @brief Follows the partition's stream from the first call on, and carries out what the tracker
/// decides. Used on the control thread only; the references outlive the thread.
class keyed_partition
{
public:
    keyed_partition(io_thread &thread, platform_client &platform, metric_registry &metrics,
                    partition_id partition);

    /// @brief Claims the request's key; the calling fiber waits for the log.
    keyed_verdict claim(const keyed_request &request);

    /// @brief Stores the end of a call that claim let run; waits for the log, but not for long.
    void finish(const request_id &request, const keyed_answer &answer);

    /// @return whether everything that the log is to know is there
    [[nodiscard]] bool isIdle() const { return m_appender.isIdle(); }

private:
    using verdict_promise = boost::fibers::promise<keyed_verdict>;

    void startTail();
    void onRead(const log_read &read, bool caughtUp);
    void onGap(log_offset firstRetained);
    void applyEntry(const log_entry &entry);
    /// @brief Reads the stream's end and waits until the fold is there.
    /// @return whether it is
    bool foldToEnd();
    bool waitForFold(time_point deadline, const std::function<bool()> &reached);
    /// @return the number of the last record that was given to the appender, or 0
    std::uint64_t perform(keyed_actions actions);
    void settle(const request_id &request, keyed_verdict verdict);
    keyed_verdict withStoredBody(replay_answer replay);

    io_thread &m_thread;
    platform_client &m_platform;
    const std::string m_stream;
    idempotency_index m_index; // without the answers' bodies: these are read again for a replay
    keyed_call_tracker m_tracker;
    record_appender m_appender;
    std::unique_ptr<log_tailer> m_tailer; // null before the first call
    log_offset m_next{1}; // the first offset that isn't folded
    bool m_caughtUp = false; // the fold was at the stream's end once
    bool m_reachable = true;
    boost::fibers::mutex m_mutex; // for m_folded only
    boost::fibers::condition_variable m_folded; // of m_next, m_caughtUp and m_reachable
    std::unordered_map<std::string, verdict_promise> m_waiting; // by request id
};

} // namespace tamarack
