// Deadlines of reads, from the last progress.
#include <tamarackglade/gateway/upstream/run_watch.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

run_watch::run_watch(http_client &client, const attempt_limits &limits)
    : m_client(client), m_limits(limits), m_progressAt(bootNow())
{
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
}

duration run_watch::silentFor() const
{
    return bootNow() - m_progressAt;
}

void run_watch::setDeadline()
{
    time_point until = m_limits.deadline;
    const bool mayTakeAllTime = m_limits.isLastResort && !m_streamStarted;
    if (!mayTakeAllTime && m_limits.silenceTimeout > duration::zero())
        until = std::min(until, m_progressAt + m_limits.silenceTimeout);
    if (!mayTakeAllTime && !m_streamStarted && m_limits.firstEventDeadline)
        until = std::min(until, *m_limits.firstEventDeadline);
    m_client.setDeadline(until);
}

} // namespace tamarack
