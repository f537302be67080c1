// The tailing fiber.
#include <tamarackglade/platform/log_tailer.hpp>

#include <absl/strings/numbers.h>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <mutex>
#include <optional>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds LongPoll{800};
constexpr std::chrono::milliseconds RetryPause{250};
constexpr std::size_t ReadLimit = 500; // records of one read

} // namespace

struct log_tailer::shared_state
{
    platform_client &platform;
    std::string stream;
    log_offset next;
    tail_handler handler;
    std::atomic<bool> stopped{false};
    std::optional<bool> reachable{};
    // The first read doesn't wait, so that an empty stream is known to be at its end at once.
    bool caughtUp = false;
    std::uint64_t begunReads = 0;
    std::uint64_t endedReads = 0; // at most begunReads
    bool retrying = false; // the next read is due now, and doesn't wait for entries
    boost::fibers::mutex mutex{}; // for changed only
    boost::fibers::condition_variable changed{}; // of endedReads or retrying

    void run();
    void readOnce();
    void handle(const absl::StatusOr<log_read> &read);
    void pauseAfterFailure();
    void setReachable(bool now);
};

log_tailer::log_tailer(io_thread &thread, platform_client &platform, std::string stream,
                       log_offset from, tail_handler handler)
    : m_state(new shared_state{platform, std::move(stream), from, std::move(handler)})
{
    thread.spawn([state = m_state] { state->run(); });
}

log_tailer::~log_tailer()
{
    stop();
}

void log_tailer::stop()
{
    m_state->stopped = true;
}

void log_tailer::retryNow(std::chrono::milliseconds timeout)
{
    const auto state = m_state; // the tailer may be destroyed meanwhile
    if (state->reachable != std::optional(false))
        return;
    const std::uint64_t awaited = state->begunReads + 1;
    state->retrying = true;
    state->changed.notify_all();
    std::unique_lock lock(state->mutex);
    state->changed.wait_for(lock, timeout,
                            [&] { return state->endedReads >= awaited || state->stopped; });
}

void log_tailer::shared_state::run()
{
    while (!stopped)
        readOnce();
}

void log_tailer::shared_state::readOnce()
{
    const auto wait = caughtUp && !retrying ? LongPoll : std::chrono::milliseconds(0);
    retrying = false;
    ++begunReads;
    const auto read = platform.read(stream, next, ReadLimit, wait);
    if (stopped)
        return;
    handle(read);
    ++endedReads;
    changed.notify_all();
    if (reachable == std::optional(false))
        pauseAfterFailure();
}

void log_tailer::shared_state::pauseAfterFailure()
{
    std::unique_lock lock(mutex);
    changed.wait_for(lock, RetryPause, [this] { return retrying || stopped; });
}

void log_tailer::shared_state::handle(const absl::StatusOr<log_read> &read)
{
    std::uint64_t firstRetained = 0;
    if (absl::IsOutOfRange(read.status())
        && absl::SimpleAtoi(read.status().message(), &firstRetained)) {
        next = log_offset(firstRetained);
        handler.onGap(next);
        return;
    }
    setReachable(read.ok());
    if (!read.ok())
        return;
    if (!read->entries.empty())
        next = log_offset(read->entries.back().offset.value() + 1);
    caughtUp = next >= read->next;
    handler.onRead(*read, caughtUp);
}

void log_tailer::shared_state::setReachable(bool now)
{
    if (std::exchange(reachable, now) != std::optional(now))
        handler.onReachable(now);
}

} // namespace tamarack
