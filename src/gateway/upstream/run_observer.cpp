// Distinguishes first events, breaks and other ends of runs.
#include <tamarackglade/gateway/upstream/run_observer.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

namespace tamarack {

namespace {

constexpr unsigned MinErrorStatus = 400;

run_end endOf(const attempt_result &result)
{
    switch (result.outcome) {
    case attempt_outcome::Complete:
    case attempt_outcome::Answered:
        return run_end::Proper;
    case attempt_outcome::NotRun:
        return run_end::NotRun;
    case attempt_outcome::Broken:
    case attempt_outcome::Silent:
    case attempt_outcome::DeadlineExceeded:
    case attempt_outcome::Cancelled:
        break;
    }
    return run_end::Other;
}

} // namespace

run_observer::run_observer(prompt_quarantine &parts, request_quarantine &requests,
                           quarantine_exchange &exchange, const live_upstream &upstream,
                           const observed_request &request)
    : m_partQuarantine(parts), m_requestQuarantine(requests), m_exchange(exchange),
      m_group(upstream.group), m_parts(request.parts)
{
    m_break.group = upstream.group;
    m_break.request = request.fingerprint;
    m_break.ofBatchItem = request.isBatchItem;
    m_break.instance = hashOf(upstream.id, upstream.incarnation);
    m_break.sentAt = bootNow();
}

void run_observer::onEvent()
{
    if (m_hasEvents)
        return;
    m_hasEvents = true;
    m_partQuarantine.onServed({m_break.instance, m_break.sentAt});
    m_partQuarantine.onFirstEvent(m_group, m_parts, bootNow());
}

// A silent upstream is no evidence of a crash: it may be slow, frozen or cut off.
void run_observer::onEnd(const attempt_result &result)
{
    const time_point now = bootNow();
    if (result.outcome == attempt_outcome::Answered && result.response.status < MinErrorStatus)
        onEvent();
    if (result.outcome == attempt_outcome::Broken)
        onBroken(now);
    const run_end end = endOf(result);
    m_partQuarantine.endRun(m_group, m_parts, end != run_end::NotRun, now);
    if (!m_break.ofBatchItem)
        m_requestQuarantine.endRun(m_break.request, end, now);
}

void run_observer::onBroken(time_point now)
{
    if (!m_hasEvents)
        m_break.parts = m_parts;
    m_break.brokeAt = now;
    m_requestQuarantine.onBreak(m_partQuarantine.onBreak(m_break, now), now);
    m_exchange.onBreak(now);
}

} // namespace tamarack
