// Course of one online request: slots, events and the log line at its end.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/fingerprint_text.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>
#include <tamarackglade/gateway/relay/join_ids.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/placement/group_selection.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds MaxRepeatWait{250};
constexpr std::chrono::milliseconds DefaultTimeout{60'000};

} // namespace

call_relay::call_relay(gateway_context &context, http_exchange &exchange, forward_call call,
                       const forward_route &route, std::optional<customer_id> customer,
                       int priority, time_point arrivedAt)
    : m_context(context), m_exchange(exchange), m_call(std::move(call)), m_route(route),
      m_customer(std::move(customer)), m_priority(priority), m_arrivedAt(arrivedAt),
      m_fingerprint(fingerprintOf(m_customer.value_or(customer_id()), m_call.target, m_call.body)),
      m_progress(m_call.resumeAfter)
{
    duration timeout = route.timeout > duration::zero() ? route.timeout : duration(DefaultTimeout);
    if (m_call.timeLeft)
        timeout = std::min(timeout, *m_call.timeLeft);
    m_deadline = arrivedAt + timeout;
    m_placement.prefixHash = m_call.prefixHash;
}

duration call_relay::timeLeft() const
{
    return m_deadline - bootNow();
}

bool call_relay::idempotent() const
{
    return m_route.kind == route_kind::Repeatable
           || (m_route.kind == route_kind::Stream && m_route.resumable);
}

void call_relay::serve()
{
    const auto open = m_context.openCalls.add([this] { onProcessEnds(); });
    m_exchange.watchCaller([this] { onCallerDisconnected(); });
    const bool takesUp = m_route.kind == route_kind::Stream && m_call.resumeAfter;
    const bool known = !takesUp || findOrigin();
    while (known && acquireSlot()) {
        const attempt_result result = attempt();
        if (result.outcome == attempt_outcome::Complete) {
            if (!m_exchange.started())
                m_exchange.beginStream(m_head);
            m_exchange.endStream();
            m_outcome = "complete";
            break;
        }
        if (result.outcome == attempt_outcome::Cancelled) {
            endCancelled();
            break;
        }
        const bool failed =
            result.outcome == attempt_outcome::Answered && result.response.status >= 500;
        if (result.outcome == attempt_outcome::Answered && !(failed && mayRetry(result))) {
            forwardResponse(result);
            break;
        }
        if (result.outcome != attempt_outcome::Answered && !mayRetry(result)) {
            respondWithFailure(result);
            break;
        }
    }
    m_exchange.unwatchCaller();
    logEnd();
}

bool call_relay::acquireSlot()
{
    const bool resuming = m_exchange.started();
    const time_point now = bootNow();
    if (m_processEnds) {
        endCancelled();
        return false;
    }
    if (m_successor && !m_successor->isHeld())
        m_successor.reset();
    if (m_successor)
        m_placement.group = m_successor->group();
    else if (!m_origin)
        m_placement.group =
            selectGroup(m_route.groups, m_call.id, m_context.allocator, m_placement.excluded, now);
    if (const auto blocked =
            m_context.quarantine.check(m_placement.group, m_call.sharedParts, now)) {
        refuseQuarantined(*blocked);
        return false;
    }
    if (const auto blocked =
            m_context.requestQuarantine.check(m_fingerprint, m_placement.group, now)) {
        refuseCrashing(*blocked);
        return false;
    }
    if (const std::string reason = notResumableReason(); !reason.empty()) {
        refuseResume(reason);
        return false;
    }
    if (m_context.directory.versionsOf(m_placement.group).empty()) {
        refuseWithoutUpstream();
        return false;
    }
    if (m_successor) {
        m_upstream = m_successor->take();
        m_successor.reset();
        return true;
    }
    readmitUpstreams(now);
    // A stream that has begun, or a request whose run was abandoned, waits until its deadline, as
    // its caller would lose what it has.
    time_point latest = m_origin || !m_abandoned.empty() ? m_deadline : now + MaxRepeatWait;
    if (!m_origin && m_runs == 0 && m_refusals == 0 && m_route.latencyObjective > duration::zero())
        latest = m_arrivedAt + m_route.latencyObjective - m_context.options.firstEventReserve;
    latest = std::min(latest, m_deadline);
    const slot_request request{m_placement, m_customer.value_or(customer_id()), m_priority, latest};
    const slot_result slot = m_context.blockingQueue.acquire(request, m_waiter);
    m_waited += slot.waited;
    switch (slot.outcome) {
    case slot_outcome::Granted:
        m_upstream = slot.upstream;
        return true;
    case slot_outcome::Cancelled:
        endCancelled();
        return false;
    case slot_outcome::Refused:
    case slot_outcome::Expired:
        break;
    }
    if (resuming) {
        m_outcome = "no slot to resume";
        breakOff();
    } else if (m_mayHaveRun) {
        m_outcome = "no slot to repeat";
        m_status = 502;
        m_exchange.respond(refusal(502, "upstream_failed"));
    } else {
        refuseUnavailable(slot.outcome == slot_outcome::Refused ? "no_slot_expected" : "no_slot");
    }
    return false;
}

// Of the upstreams that were tried, those that refused are asked again first. A stream that goes on
// may use all of its version again in any case.
void call_relay::readmitUpstreams(time_point now)
{
    if (m_origin || m_abandoned.empty() || m_context.allocator.hasOthers(m_placement, now))
        return;
    m_placement.excluded = m_abandoned;
    if (!m_context.allocator.hasOthers(m_placement, now))
        m_placement.excluded.clear();
}

// The head is sent with the first events, so that another upstream can still answer if this one
// fails before its first event.
bool call_relay::onHead(const http_response &head, const response_metadata &metadata)
{
    if (m_exchange.started())
        return !m_callerDisconnected;
    m_status = head.status;
    m_head.status = head.status;
    m_head.contentType.clear();
    m_head.headers = metadata.headers;
    return !m_callerDisconnected;
}

bool call_relay::onEvent(const stream_event &event)
{
    m_pending.append(event.text);
    if (!hasContent(event))
        return !m_callerDisconnected;
    if (!m_firstEventAt)
        m_firstEventAt = bootNow();
    if (!m_origin)
        beginStream();
    if (m_runEvents == 0)
        m_context.allocator.onAnswer(m_upstream);
    ++m_events;
    ++m_runEvents;
    m_observer->onEvent();
    return !m_callerDisconnected;
}

bool call_relay::onFlush()
{
    if (m_pending.empty())
        return !m_callerDisconnected;
    if (!m_exchange.started()) {
        m_exchange.beginStreamWith(m_head, m_pending);
        m_pending.clear();
        return !m_callerDisconnected;
    }
    const bool written = m_exchange.writeChunk(m_pending);
    m_pending.clear();
    return written && !m_callerDisconnected;
}

void call_relay::onCallerDisconnected()
{
    m_callerDisconnected = true;
    cancel();
}

void call_relay::onProcessEnds()
{
    m_processEnds = true;
    cancel();
}

void call_relay::cancel()
{
    m_handle.abort();
    if (m_waiter)
        m_context.blockingQueue.cancel(*m_waiter);
}

void call_relay::logEnd()
{
    const time_point now = bootNow();
    const auto &activeConfig = m_context.config.activeConfig();
    log_event line(log_level::Info, "request ended");
    line.request(m_call.id.value())
        .upstream(m_upstream.value())
        .with("route", m_route.name)
        .with("outcome", m_outcome)
        .with("status", m_status)
        .with("runs", m_runs)
        .with("refusals", m_refusals)
        .with("events", m_events)
        .with("version", m_runVersion.value())
        .with("first_attempt", m_call.firstAttempt.value())
        .with("waited_ms", toSeconds(m_waited) * 1000)
        .with("prompt_parts", joinIds(m_call.sharedParts))
        .with("fingerprint", textOf(m_fingerprint))
        .with("total_ms", toSeconds(now - m_arrivedAt) * 1000)
        .with("left_ms", toSeconds(timeLeft()) * 1000)
        .with("broken_off", m_brokenOff)
        .with("config", activeConfig.current()->version().value())
        .with("config_age_ms", toSeconds(now - activeConfig.confirmedAt().value_or(now)) * 1000);
    if (m_customer)
        line.customer(m_customer->value());
    if (m_firstEventAt)
        line.with("first_event_ms", toSeconds(*m_firstEventAt - m_arrivedAt) * 1000);
    m_context.metrics.add("tamarack_requests_total{outcome=\"" + m_outcome + "\"}");
    if (m_brokenOff)
        m_context.metrics.add("tamarack_answers_broken_off_total{reason=\"" + m_outcome + "\"}");
    m_context.metrics.observeSeconds("tamarack_request_seconds", "", toSeconds(now - m_arrivedAt));
    if (m_firstEventAt)
        m_context.metrics.observeSeconds("tamarack_first_event_seconds", "",
                                         toSeconds(*m_firstEventAt - m_arrivedAt));
}

} // namespace tamarack
