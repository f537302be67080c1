// Tracking of one job submission.
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/submission_tracker.hpp>

#include <algorithm>

namespace tamarack {

submission_tracker::submission_tracker(const partition_fold &fold, job_request request,
                                       timing times, time_point now)
    : m_request(std::move(request)), m_times(times), m_batch(acceptBatch(m_request)),
      m_startedAt(now), m_answerDeadline(now + times.answerTimeout)
{
    const auto *same = fold.jobByDigest(m_request.customer, m_request.idempotencyDigest);
    if (same)
        m_outcome = {submission_state::Existing, same->id, {}};
}

std::optional<schema::log_batch_message> submission_tracker::next(time_point now)
{
    const bool isEarly = m_retryAt && now < *m_retryAt;
    if (m_outcome.state != submission_state::Waiting || isEarly)
        return std::nullopt;
    m_mayBeWritten = m_mayBeWritten || m_inFlight; // the previous append had no result
    m_inFlight = true;
    m_retryAt = now + m_times.appendTimeout;
    return m_batch;
}

void submission_tracker::onAppendResult(append_outcome outcome, time_point now)
{
    m_inFlight = false;
    if (outcome != append_outcome::Failed)
        m_mayBeWritten = true;
    if (outcome != append_outcome::Ok)
        m_retryAt = now + m_times.retryDelay;
    const bool hasFailed = !m_mayBeWritten && now - m_startedAt >= m_times.failureTimeout;
    if (m_outcome.state == submission_state::Waiting && hasFailed)
        m_outcome.state = submission_state::NotWritten;
}

void submission_tracker::onFolded(const fold_changes &changes)
{
    if (m_outcome.state != submission_state::Waiting)
        return;
    const auto &accepted = changes.jobsAccepted;
    if (std::find(accepted.begin(), accepted.end(), m_request.id) != accepted.end())
        m_outcome = {submission_state::Accepted, m_request.id, {}};
    for (const auto &refusal : changes.jobsRefused) {
        if (refusal.job != m_request.id)
            continue;
        const bool isSame = refusal.reason == refusal_reason::SameJobExists;
        m_outcome = {isSame ? submission_state::Existing : submission_state::Refused,
                     refusal.existing, refusal.reason};
    }
}

void submission_tracker::tick(time_point now)
{
    if (m_outcome.state != submission_state::Waiting || now < m_answerDeadline)
        return;
    const bool isUnknown = m_mayBeWritten || m_inFlight;
    m_outcome.state = isUnknown ? submission_state::Unknown : submission_state::NotWritten;
}

} // namespace tamarack
