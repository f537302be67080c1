// Single attempts of an online request at upstreams, and whether another one follows.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/fingerprint_text.hpp>
#include <tamarackglade/gateway/relay/join_ids.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/placement/group_selection.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr unsigned MaxRefusals = 3; // a request fails if more upstreams than this refuse it
// Between the tries after that of a request that goes on until its deadline.
constexpr std::chrono::milliseconds RefusalPause{100};
// The upstream may have closed an idle connection without this gateway noticing. A request that
// can't be repeated only uses one that was idle for a short time.
constexpr std::chrono::milliseconds MaxIdleTimeOnce{700};
constexpr std::chrono::milliseconds MaxRefreshTime{100}; // of records before a stream goes on
constexpr std::chrono::milliseconds MinFirstEventWait{100};
constexpr double FirstEventShare = 2.0 / 3; // share of the latency objective for the first upstream
constexpr std::chrono::milliseconds MaxIdleTimeRepeatable{60'000};

} // namespace

attempt_result call_relay::attempt()
{
    if (startCheck() == start_check::Required)
        m_context.upstreams.refresh(MaxRefreshTime);
    const live_upstream *known = m_context.directory.find(m_upstream);
    attempt_result result;
    const bool mayGoOn = known != nullptr && (!m_origin || known->version == m_origin->version);
    if (!mayGoOn || !m_context.directory.takesWork(*known)) {
        m_context.blockingQueue.release(m_upstream, work_class::Online);
        result.outcome = attempt_outcome::NotRun;
        result.reason = "upstream removed, leaving, of another version or in an evacuated zone";
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
        limits.firstEventTimeout = firstEventTimeout();
    limits.maxIdleTime = idempotent() ? MaxIdleTimeRepeatable : MaxIdleTimeOnce;
    limits.startCheck = startCheck();
    m_runEvents = 0;
    m_silenceReported = false;
    result = m_context.caller.run(upstream, m_context.protocol.encodeCall(m_call, message),
                                  m_call.id, m_route.kind == route_kind::Stream, limits, m_progress,
                                  *this, m_handle);
    m_observer = nullptr;
    observer.onEnd(result);
    if (result.outcome != attempt_outcome::Silent || !m_silenceReported)
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

// A sound upstream may be silent for a moment, so the run goes on until another slot is held.
bool call_relay::onSilence()
{
    if (!m_silenceReported) {
        m_silenceReported = true;
        m_context.allocator.onFault(m_upstream, attempt_fault::Silent, bootNow());
    }
    if (!m_successor)
        reserveSuccessor();
    if (!m_successor || !m_successor->isHeld())
        return false;
    if (isQuarantined(m_successor->group()))
        m_successor.reset();
    if (m_successor)
        m_abandoned.insert(m_upstream);
    return m_successor.has_value();
}

bool call_relay::isQuarantined(const group_id &group)
{
    const time_point now = bootNow();
    return m_context.quarantine.check(group, m_call.sharedParts, now)
           || m_context.requestQuarantine.check(m_fingerprint, group, now);
}

void call_relay::reserveSuccessor()
{
    if (m_origin && m_origin->version.value().empty()) {
        setOrigin({m_origin->group, versionOfRun(), m_origin->begunAt});
        if (m_origin->version.value().empty())
            return;
    }
    const time_point now = bootNow();
    slot_request request{m_placement, m_customer.value_or(customer_id()), m_priority, m_deadline};
    request.placement.excluded.insert(m_upstream);
    request.placement.onlyOthers = true;
    group_id &group = request.placement.group;
    if (!m_origin)
        group = selectGroup(m_route.groups, m_call.id, m_context.allocator,
                            request.placement.excluded, now);
    // Upstreams that refused may be asked again.
    if (!m_context.allocator.hasOthers(request.placement, now))
        request.placement.excluded = {m_upstream};
    if (!m_context.allocator.hasOthers(request.placement, now) || isQuarantined(group))
        return;
    m_successor.emplace(m_context.blockingQueue, request);
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
duration call_relay::firstEventTimeout() const
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
        return m_refusals <= MaxRefusals || pauseAfterRefusals();
    return idempotent() && m_runs < m_route.attempts;
}

// Refusals are temporary, and the caller would lose a part of a stream or an abandoned run.
bool call_relay::pauseAfterRefusals()
{
    if (!m_exchange.started() && m_abandoned.empty())
        return false;
    boost::this_fiber::sleep_for(std::min<duration>(RefusalPause, timeLeft()));
    return timeLeft() > duration::zero();
}

} // namespace tamarack
