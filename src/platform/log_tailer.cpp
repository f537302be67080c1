// The tailing fiber.
#include <tamarackglade/platform/log_tailer.hpp>

#include <absl/strings/numbers.h>
#include <boost/fiber/operations.hpp>

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

    void run();
    void readOnce();
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

void log_tailer::shared_state::run()
{
    while (!stopped)
        readOnce();
}

void log_tailer::shared_state::readOnce()
{
    const auto wait = caughtUp ? LongPoll : std::chrono::milliseconds(0);
    const auto read = platform.read(stream, next, ReadLimit, wait);
    if (stopped)
        return;
    std::uint64_t firstRetained = 0;
    if (absl::IsOutOfRange(read.status())
        && absl::SimpleAtoi(read.status().message(), &firstRetained)) {
        next = log_offset(firstRetained);
        handler.onGap(next);
        return;
    }
    setReachable(read.ok());
    if (!read.ok()) {
        boost::this_fiber::sleep_for(RetryPause);
        return;
    }
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
