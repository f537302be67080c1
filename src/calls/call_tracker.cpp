// Event handlers of the call tracker.
#include <tamarackglade/calls/call_tracker.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarack {

call_tracker::call_tracker(tracker_options options, vm_id vm, incarnation_number incarnation,
                           upstream_chooser &chooser)
    : m_options(options), m_vm(std::move(vm)), m_incarnation(incarnation), m_chooser(chooser),
      m_budget(options.retryRatio, options.retryInitial, options.retryCapacity)
{
}

call_actions call_tracker::onRequest(tracked_request request, time_point now)
{
    assert(!m_calls.contains(request.id.value()));
    m_budget.onCall();
    const std::string id = request.id.value();
    auto &call = m_calls[id];
    call.request = std::move(request);
    setDue(call, call.request.deadline);
    if (call.request.deadline <= now)
        fail(call, call_failure::DeadlinePassed, now);
    else
        sendAttempt(call, now);
    return takeActions();
}

call_actions call_tracker::onCallerDisconnected(const request_id &request, time_point now)
{
    const auto found = m_calls.find(request.value());
    if (found != m_calls.end())
        fail(found->second, call_failure::CallerDisconnected, now);
    return takeActions();
}

call_actions call_tracker::onHead(const schema::call_head_message &frame, time_point /*now*/)
{
    auto *call = findCall(frame.attempt);
    if (!call || call->headSent || call->currentPhase != tracked_call::phase::InFlight)
        return takeActions();
    call->headSent = true;
    m_actions.emplace_back(caller_head{call->request.id, frame.status, frame.content_type});
    return takeActions();
}

call_actions call_tracker::onData(const schema::call_data_message &frame, time_point /*now*/)
{
    auto *call = findCall(frame.attempt);
    if (call && call->headSent && call->currentPhase == tracked_call::phase::InFlight)
        m_actions.emplace_back(caller_data{call->request.id, frame.data});
    return takeActions();
}

call_actions call_tracker::onEnd(const schema::call_end_message &frame, time_point now)
{
    auto *call = findCall(frame.attempt);
    if (!call || call->currentPhase != tracked_call::phase::InFlight)
        return takeActions();
    call->retryAfter = std::chrono::milliseconds(frame.retry_after_ms);
    switch (frame.outcome) {
    case schema::call_outcome::Complete:
        complete(*call, now);
        break;
    case schema::call_outcome::NotStarted:
        endAttempt(*call, attempt_result::Refused, now);
        onNotStarted(*call, now);
        break;
    case schema::call_outcome::Failed:
    case schema::call_outcome::Unknown:
        endAttempt(*call, attempt_result::Failed, now);
        onMayHaveRun(*call, call_failure::UpstreamFailed, now);
        break;
    case schema::call_outcome::Cancelled:
        // Cancelled by the side process: this tracker drops the attempts that it cancels itself.
        endAttempt(*call, attempt_result::Abandoned, now);
        onMayHaveRun(*call, call_failure::Overloaded, now);
        break;
    }
    return takeActions();
}

call_actions call_tracker::onRefuseAnswer(const schema::refuse_answer_message &frame,
                                          time_point now)
{
    auto *call = findCall(frame.attempt);
    if (!call || call->currentPhase != tracked_call::phase::AwaitingProof)
        return takeActions();
    call->currentPhase = tracked_call::phase::Idle;
    if (frame.never_started)
        onNotStarted(*call, now);
    else
        onMayHaveRun(*call, call_failure::ConnectionLost, now);
    return takeActions();
}

call_actions call_tracker::onSideConnected(const upstream_id &upstream, incarnation_number side,
                                           time_point now)
{
    loseConnection(upstream, now);
    m_connectedSides[upstream] = side;
    for (const auto &id : callIdsAt(upstream)) {
        auto &call = m_calls.at(id);
        if (call.currentPhase != tracked_call::phase::AwaitingSide)
            continue;
        if (call.sideIncarnation == side)
            requestProof(call);
        else
            onMayHaveRun(call, call_failure::ConnectionLost, now);
    }
    return takeActions();
}

call_actions call_tracker::onSideDisconnected(const upstream_id &upstream, time_point now)
{
    loseConnection(upstream, now);
    return takeActions();
}

void call_tracker::loseConnection(const upstream_id &upstream, time_point now)
{
    if (m_connectedSides.erase(upstream) == 0)
        return;
    for (const auto &id : callIdsAt(upstream)) {
        auto &call = m_calls.at(id);
        if (call.currentPhase == tracked_call::phase::InFlight)
            endAttempt(call, attempt_result::Failed, now);
        if (call.headSent || call.request.call.repeatable)
            onMayHaveRun(call, call_failure::ConnectionLost, now);
        else
            awaitSide(call, now);
    }
}

call_actions call_tracker::onSideLost(const upstream_id &upstream, time_point now)
{
    m_connectedSides.erase(upstream);
    for (const auto &id : callIdsAt(upstream)) {
        auto &call = m_calls.at(id);
        if (call.currentPhase == tracked_call::phase::InFlight)
            endAttempt(call, attempt_result::Failed, now);
        onMayHaveRun(call, call_failure::ConnectionLost, now);
    }
    return takeActions();
}

call_actions call_tracker::tick(time_point now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        auto &call = m_calls.at(m_due.begin()->second);
        const bool deadline = call.request.deadline <= now;
        if (deadline)
            fail(call, call_failure::DeadlinePassed, now);
        else
            onMayHaveRun(call, call_failure::ConnectionLost, now);
    }
    return takeActions();
}

std::optional<time_point> call_tracker::nextDeadline() const
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.begin()->first;
}

} // namespace tamarack
