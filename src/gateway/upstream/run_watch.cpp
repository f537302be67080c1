// Deadlines of reads, from the last progress.
#include <tamarackglade/gateway/upstream/run_watch.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds AskAgainInterval{25}; // whether a silent run is abandoned

} // namespace

run_watch::run_watch(http_client &client, const attempt_limits &limits, response_sink &sink)
    : m_client(client), m_limits(limits), m_sink(sink), m_startedAt(bootNow()),
      m_progressAt(m_startedAt)
{
    m_client.setDeadlineHandler([this] { return onDeadline(); });
}

run_watch::~run_watch()
{
    m_client.setDeadlineHandler(nullptr);
}

void run_watch::onWait()
{
    m_progressAt = bootNow();
    setDeadline();
}

void run_watch::onProgress(bool streamStarted)
{
    m_streamStarted = streamStarted;
    m_progressAt = bootNow();
    setDeadline();
    m_sink.onProgress();
}

duration run_watch::silentFor() const
{
    return bootNow() - m_progressAt;
}

void run_watch::setDeadline()
{
    time_point until = m_limits.deadline;
    if (m_limits.silenceTimeout > duration::zero())
        until = std::min(until, m_progressAt + m_limits.silenceTimeout);
    if (!m_streamStarted && m_limits.firstEventTimeout)
        until = std::min(until, m_startedAt + *m_limits.firstEventTimeout);
    m_client.setDeadline(until);
}

std::optional<time_point> run_watch::onDeadline()
{
    const time_point now = bootNow();
    if (now >= m_limits.deadline || m_sink.onSilence())
        return std::nullopt;
    return std::min<time_point>(m_limits.deadline, now + AskAgainInterval);
}

} // namespace tamarack
