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
