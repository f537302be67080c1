// The buffer and its thread.
#include <tamarackglade/logging/line_writer.hpp>

#include <poll.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace tamarack {

namespace {

// Lines of this time are written together.
constexpr std::chrono::milliseconds BatchTime{25};
constexpr int PollMs = 50;

// Without it, writing to a pipe whose reader has gone, or beyond the largest size of a file, would
// end the process.
void blockWriteSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGPIPE);
    sigaddset(&set, SIGXFSZ);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace

line_writer::line_writer(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor), m_capacity(capacity), m_thread([this] { writeLoop(); })
{
}

line_writer::~line_writer()
{
    flush(FlushTime);
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_waiting.clear();
    }
    m_changed.notify_all();
    m_thread.join();
}

void line_writer::write(std::string_view line)
{
    bool first = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.size() + line.size() + 1 > m_capacity) {
            ++m_dropped;
            return;
        }
        first = m_waiting.empty();
        if (m_told < m_dropped) {
            m_waiting += "{\"level\":\"warning\",\"message\":\"log lines dropped\",\"count\":"
                         + std::to_string(m_dropped - m_told) + "}\n";
            m_told = m_dropped;
        }
        m_waiting += line;
        m_waiting.push_back('\n');
    }
    if (first)
        m_changed.notify_all();
}

bool line_writer::flush(std::chrono::milliseconds most)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, most, [&] { return m_waiting.empty() && !m_writing; });
}

std::uint64_t line_writer::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void line_writer::writeLoop()
{
    blockWriteSignals();
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        m_changed.wait(lock, [&] { return m_stopped || !m_waiting.empty(); });
        m_writing = true;
        const std::string text = std::exchange(m_waiting, std::string());
        lock.unlock();
        const std::uint64_t lost = writeOut(text);
        std::this_thread::sleep_for(BatchTime);
        lock.lock();
        m_dropped += lost;
        m_writing = false;
        m_changed.notify_all();
    }
}

// The descriptor may block for ever; polling first lets the thread end.
std::uint64_t line_writer::writeOut(std::string_view text)
{
    while (!text.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, PollMs) == 0) {
            const std::lock_guard lock(m_mutex);
            if (m_stopped)
                return 0;
            continue;
        }
        constexpr std::size_t ChunkBytes = 4096; // a pipe that is ready takes as much
        const auto size = ::write(m_descriptor, text.data(), std::min(text.size(), ChunkBytes));
        if (size < 0 && errno != EINTR && errno != EAGAIN)
            return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
        if (size > 0)
            text.remove_prefix(static_cast<std::size_t>(size));
    }
    return 0;
}

} // namespace tamarack
