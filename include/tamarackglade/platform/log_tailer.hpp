// Follows one stream of the platform's log.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace tamarack {

/// @brief What a tailer tells; called in its fiber, in order of offset.
struct tail_handler
{
    /// New entries. caughtUp is true once the end of the stream was reached.
    std::function<void(const log_read &read, bool caughtUp)> onRead;
    /// The next offset is no longer retained; reading goes on at firstRetained.
    std::function<void(log_offset firstRetained)> onGap;
    /// Whether the last read succeeded; called on each change, and once at the beginning.
    std::function<void(bool reachable)> onReachable;
};

/// @brief Long-polls a stream from an offset on, for as long as it lives.
class log_tailer
{
public:
    /// thread and platform must outlive the thread's fibers.
    log_tailer(io_thread &thread, platform_client &platform, std::string stream, log_offset from,
               tail_handler handler);
    /// Stops; no call of the handler begins afterwards on this thread.
    ~log_tailer();

    /// @brief Stops after the read under way.
    void stop();

    /// @brief After a failed read, reads again at once, and waits in the caller's fiber until that
    /// read has ended or the timeout has passed. Returns at once if the last read succeeded, as new
    /// entries then arrive as soon as they are stored. Call on the tailer's thread only.
    void retryNow(std::chrono::milliseconds timeout);

private:
    struct shared_state;

    std::shared_ptr<shared_state> m_state;
};

} // namespace tamarack
