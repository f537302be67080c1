// Ejection and probing of upstreams.
#include <tamarackglade/routing/upstream_health.hpp>

#include <algorithm>

namespace tamarack {

upstream_health::upstream_health(health_options options)
    : m_options(options), m_nextEjection(options.firstEjection)
{
}

void upstream_health::onAttemptStarted(time_point now)
{
    if (m_ejectedUntil && now >= *m_ejectedUntil)
        m_probing = true;
}

void upstream_health::onAttemptEnded(attempt_result result, time_point now)
{
    switch (result) {
    case attempt_result::Succeeded:
        onSuccess(now);
        break;
    case attempt_result::Failed:
        onFailure(now);
        break;
    case attempt_result::Refused:
    case attempt_result::Abandoned:
        m_probing = false;
        break;
    }
}

bool upstream_health::mayUse(time_point now) const
{
    if (!m_ejectedUntil)
        return true;
    return now >= *m_ejectedUntil && !m_probing;
}

void upstream_health::onFailure(time_point now)
{
    ++m_consecutiveFailures;
    m_attempts = std::min(m_attempts + 1, m_options.minAttempts);
    m_errorRate += (1 - m_errorRate) / m_options.minAttempts;
    if (m_ejectedUntil) {
        // Without a probe, the failure is of an attempt that started before the ejection.
        if (m_probing)
            eject(now);
        return;
    }
    const bool exceedsErrorRate =
        m_attempts >= m_options.minAttempts && m_errorRate >= m_options.errorRate;
    if (m_consecutiveFailures >= m_options.consecutiveFailures || exceedsErrorRate)
        eject(now);
}

void upstream_health::onSuccess(time_point now)
{
    m_consecutiveFailures = 0;
    m_attempts = std::min(m_attempts + 1, m_options.minAttempts);
    m_errorRate -= m_errorRate / m_options.minAttempts;
    if (!m_probing)
        return;
    m_probing = false;
    m_ejectedUntil.reset();
    m_returnedAt = now;
    m_nextEjection = m_options.firstEjection;
    m_errorRate = 0;
    m_attempts = 0;
}

void upstream_health::eject(time_point now)
{
    m_probing = false;
    m_ejectedUntil = now + m_nextEjection;
    m_nextEjection = std::min(m_nextEjection * 2, m_options.maxEjection);
}

} // namespace tamarack
