// Single attempts of an online request at upstreams, and whether another one follows.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/fingerprint_text.hpp>
#include <tamarackglade/gateway/relay/join_ids.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr unsigned MaxRefusals = 3; // the request fails if more upstreams than this refuse it
// The upstream may have closed an idle connection without this gateway noticing. A request that
// can't be repeated only uses one that was idle for a short time.
constexpr std::chrono::milliseconds MaxIdleTimeOnce{700};
constexpr std::chrono::milliseconds MinFirstEventWait{100};
constexpr double FirstEventShare = 2.0 / 3; // share of the latency objective for the first upstream
constexpr std::chrono::milliseconds MaxIdleTimeRepeatable{60'000};

} // namespace

attempt_result call_relay::attempt()
{
    const live_upstream *known = m_context.directory.find(m_upstream);
    attempt_result result;
    if (known == nullptr || !m_context.directory.takesWork(*known)) {
        m_context.blockingQueue.release(m_upstream, work_class::Online);
        result.outcome = attempt_outcome::NotRun;
        result.reason = "upstream removed, leaving or in an evacuated zone";
        return result;
    }
    const live_upstream upstream = *known;
    m_sentTo = upstream;
    m_runVersion = upstream.version;
    result.reason = beginRun(upstream);
    if (!result.reason.empty()) {
        m_context.blockingQueue.release(m_upstream, work_class::Online);
        result.outcome = attempt_outcome::NotRun;
        return result;
    }
    run_observer observer(m_context.quarantine, m_context.requestQuarantine,
                          m_context.quarantineExchange, upstream,
                          {m_call.sharedParts, m_fingerprint});
    m_observer = &observer;
    upstream_attempt message;
    message.upstream = upstream.id;
    message.customer = m_customer;
    message.timeLeft = timeLeft();
    message.resumeAfter = m_progress.last();
    const bool lastRun = m_runs + 1 >= m_route.attempts;
    attempt_limits limits;
    limits.deadline = m_deadline;
    limits.silenceTimeout =
        idempotent() && !lastRun ? duration(m_context.options.silenceLimit) : duration::zero();
    if (limits.silenceTimeout > duration::zero() && m_route.latencyObjective > duration::zero())
        limits.firstEventDeadline = bootNow() + maxFirstEventWait();
    limits.maxIdleTime = idempotent() ? MaxIdleTimeRepeatable : MaxIdleTimeOnce;
    limits.startCheck = startCheck();
    limits.isLastResort = isLastResort();
    m_runEvents = 0;
    result = m_context.caller.run(upstream, m_context.protocol.encodeCall(m_call, message),
                                  m_call.id, m_route.kind == route_kind::Stream, limits, m_progress,
                                  *this, m_handle);
    m_observer = nullptr;
    observer.onEnd(result);
    reportAttempt(m_context.allocator, upstream.id, result, bootNow());
    if (result.outcome == attempt_outcome::NotRun) {
        ++m_refusals;
    } else {
        ++m_runs;
        m_mayHaveRun = true;
    }
    m_context.blockingQueue.release(upstream.id, work_class::Online);
    return result;
}

// Callers of a stream that goes on leave after a pause, so only new requests wait.
bool call_relay::isLastResort() const
{
    placement_request others = m_placement;
    others.excluded.insert(m_upstream);
    const time_point now = bootNow();
    if (m_origin || m_context.allocator.hasOthers(others, now))
        return false;
    return std::none_of(m_route.groups.begin(), m_route.groups.end(), [&](const auto &each) {
        return m_context.allocator.takesWork(each.group, others.excluded, now);
    });
}

// An upstream may have started again with another version since its record was read.
start_check call_relay::startCheck() const
{
    const bool isResumable = m_route.kind == route_kind::Stream && m_route.resumable;
    if (!isResumable || m_context.directory.isCurrent(bootNow()))
        return start_check::None;
    return m_origin ? start_check::Required : start_check::Wanted;
}

void call_relay::onUnknownStart()
{
    m_runVersion = software_version();
    m_context.upstreams.refreshSoon();
}

software_version call_relay::versionOfRun() const
{
    return m_runVersion.value().empty() ? m_context.directory.versionSince(m_sentTo, bootNow())
                                        : m_runVersion;
}

std::string call_relay::beginRun(const live_upstream &upstream)
{
    const time_point now = bootNow();
    if (const auto blocked =
            m_context.requestQuarantine.beginRun(m_fingerprint, upstream.group, now))
        return blocked->quarantined ? "request quarantined" : "request put off";
    if (!m_context.quarantine.beginRun(upstream.group, m_call.sharedParts, now))
        return "";
    m_context.requestQuarantine.endRun(m_fingerprint, run_end::NotRun, now);
    return "prompt part quarantined";
}

// Leaves enough of the latency objective for another upstream to meet it.
duration call_relay::maxFirstEventWait() const
{
    return std::max<duration>(MinFirstEventWait,
                              fromSeconds(toSeconds(m_route.latencyObjective) * FirstEventShare));
}

bool call_relay::mayRetry(const attempt_result &result)
{
    log_event line(log_level::Info, "attempt failed");
    line.request(m_call.id.value())
        .upstream(m_upstream.value())
        .with("end", nameOf(result.outcome))
        .with("status", result.response.status)
        .with("reason", result.reason)
        .with("events", m_events)
        .with("run_events", m_runEvents)
        .with("version", m_runVersion.value())
        .with("prompt_parts", joinIds(m_call.sharedParts))
        .with("fingerprint", textOf(m_fingerprint))
        .with("left_ms", toSeconds(timeLeft()) * 1000);
    addEvidence(line, result.evidence, m_call.id);
    m_placement.excluded.insert(m_upstream);
    if (m_callerDisconnected || result.isUnsendable
        || result.outcome == attempt_outcome::DeadlineExceeded || timeLeft() <= duration::zero())
        return false;
    if (result.outcome == attempt_outcome::NotRun)
        return m_refusals <= MaxRefusals;
    return idempotent() && m_runs < m_route.attempts;
}

} // namespace tamarack
