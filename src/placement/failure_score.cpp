// Computes failure scores and ejections.
#include <tamarackglade/placement/failure_score.hpp>

#include <algorithm>
#include <cmath>

namespace tamarack {

void failure_score::onFault(attempt_fault fault, time_point now)
{
    const double weight = fault == attempt_fault::Refused ? m_options.refusalWeight : 1.0;
    m_score = score(now) + weight;
    m_scoredAt = now;
    extendStreak(fault, now);
    if (fault == attempt_fault::Refused)
        return;
    if (!ejectsImmediately(fault) && m_score < m_options.ejectionScore)
        return;
    const duration ejection =
        fromSeconds(toSeconds(m_options.firstEjection) * std::exp2(std::max(0.0, m_score - 1)));
    m_ejectedUntil = now + std::min(ejection, m_options.maxEjection);
}

void failure_score::onSuccess(time_point now)
{
    m_score = score(now) * m_options.successFactor;
    m_scoredAt = now;
    m_ejectedUntil = time_point{};
    onAnswer();
}

void failure_score::onAnswer()
{
    m_streak = 0;
    m_pause = duration::zero();
    m_failingUntil = time_point{};
    m_onTrial = false;
}

void failure_score::onSent(time_point now)
{
    if (m_pause == duration::zero() || failing(now))
        return;
    m_onTrial = true;
    m_failingUntil = now + m_options.trialTime;
}

// Requests that were sent before the pause began don't lengthen it.
void failure_score::extendStreak(attempt_fault fault, time_point now)
{
    m_streak += fault == attempt_fault::Refused ? m_options.streakOfRefusal : 1.0;
    if (m_streak < m_options.failingStreak || (failing(now) && !m_onTrial))
        return;
    const duration next = m_pause == duration::zero() ? m_options.firstPause : 2 * m_pause;
    m_pause = std::min(next, m_options.maxPause);
    m_failingUntil = now + m_pause;
    m_onTrial = false;
}

double failure_score::score(time_point now) const
{
    return m_score * std::exp2(-toSeconds(now - m_scoredAt) / toSeconds(m_options.halfLife));
}

// These faults eject immediately, as the next request would be delayed as well.
bool failure_score::ejectsImmediately(attempt_fault fault) const
{
    return fault == attempt_fault::Unreachable || fault == attempt_fault::Silent
           || fault == attempt_fault::Replaced;
}

} // namespace tamarack
