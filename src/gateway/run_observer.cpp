// Distinguishes first events, early breaks and other ends of runs.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/gateway/run_observer.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

namespace tamarack {

namespace {

constexpr unsigned MinErrorStatus = 400;

} // namespace

run_observer::run_observer(prompt_quarantine &quarantine, quarantine_exchange &exchange,
                           const live_upstream &upstream, const std::vector<prompt_part_id> &parts,
                           const request_id &request)
    : m_quarantine(quarantine), m_exchange(exchange), m_group(upstream.group), m_parts(parts)
{
    m_break.group = upstream.group;
    m_break.parts = parts;
    m_break.request = stableHash(request.value());
    m_break.instance = hashOf(upstream.id, upstream.incarnation);
    m_break.sentAt = bootNow();
}

void run_observer::onEvent()
{
    if (m_hasEvents)
        return;
    m_hasEvents = true;
    m_quarantine.onServed({m_break.instance, m_break.sentAt});
    m_quarantine.onFirstEvent(m_group, m_parts, bootNow());
}

// A silent upstream is no evidence of a crash: it may be slow, frozen or cut off.
void run_observer::onEnd(const attempt_result &result)
{
    const time_point now = bootNow();
    if (result.outcome == attempt_outcome::Answered && result.response.status < MinErrorStatus)
        onEvent();
    if (result.outcome == attempt_outcome::Broken && !m_hasEvents && !m_parts.empty()) {
        m_break.brokeAt = now;
        m_quarantine.onBreak(m_break, now);
        m_exchange.onBreak(now);
    }
    const bool sent = result.outcome != attempt_outcome::NotRun;
    m_quarantine.endRun(m_group, m_parts, sent, now);
}

} // namespace tamarack
