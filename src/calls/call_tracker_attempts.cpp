// Attempts and final answers of the call tracker.
#include <tamarackglade/calls/call_tracker.hpp>
#include <tamarackglade/calls/make_call_error.hpp>
#include <tamarackglade/gate/call_attempt_name.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

void call_tracker::sendAttempt(tracked_call &call, time_point now)
{
    const auto upstream = chooseConnected(call, now);
    if (!upstream) {
        fail(call, call.attempts == 0 ? call_failure::NoUpstream : call_failure::Overloaded, now);
        return;
    }
    const auto side = m_connectedSides.at(*upstream);
    if (m_options.mutation != call_mutation::KeepOldAttempts)
        m_requestOfAttempt.erase(call.attempt.value());
    call.currentPhase = tracked_call::phase::InFlight;
    call.upstream = *upstream;
    call.sideIncarnation = side;
    call.attempt = call_attempt_name{m_vm, m_incarnation, ++m_lastSequence, side}.format();
    ++call.attempts;
    call.tried.push_back(*upstream);
    setDue(call, call.request.deadline);
    m_requestOfAttempt.emplace(call.attempt.value(), call.request.id.value());
    m_chooser.onAttemptStarted(*upstream, now);
    auto frame = call.request.call;
    frame.attempt = call.attempt.value();
    frame.request_id = call.request.id.value();
    const auto left = call.request.deadline - now;
    frame.deadline_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    m_actions.emplace_back(send_start{*upstream, std::move(frame)});
}

std::optional<upstream_id> call_tracker::chooseConnected(tracked_call &call, time_point now)
{
    route_query query;
    query.group = call.request.group;
    query.model = call.request.model;
    query.callClass = call.request.call.call_class;
    query.prefixHash = call.request.prefixHash;
    query.excluded = call.tried;
    while (auto upstream = m_chooser.choose(query, now)) {
        if (m_connectedSides.contains(*upstream))
            return upstream;
        query.excluded.push_back(*upstream);
    }
    return std::nullopt;
}

void call_tracker::onNotStarted(tracked_call &call, time_point now)
{
    // The upstream did no work, so the retry budget is not charged.
    if (call.attempts < m_options.maxAttempts && call.request.deadline > now)
        sendAttempt(call, now);
    else
        fail(call, call_failure::Overloaded, now);
}

void call_tracker::onMayHaveRun(tracked_call &call, call_failure failure, time_point now)
{
    call.mayHaveRun = true;
    if (mayResend(call) && call.request.deadline > now && m_budget.tryRetry())
        sendAttempt(call, now);
    else
        fail(call, call.headSent ? call_failure::AnswerBroken : failure, now);
}

bool call_tracker::mayResend(const tracked_call &call) const
{
    if (call.headSent || call.attempts >= m_options.maxAttempts)
        return false;
    return call.request.call.repeatable || m_options.mutation == call_mutation::RetryOnUnknown;
}

void call_tracker::awaitSide(tracked_call &call, time_point now)
{
    // A connection that is lost again while the proof is awaited doesn't extend the wait.
    if (call.currentPhase == tracked_call::phase::Idle)
        setDue(call, std::min(call.request.deadline, now + m_options.proofTimeout));
    call.currentPhase = tracked_call::phase::AwaitingSide;
}

void call_tracker::requestProof(tracked_call &call)
{
    call.currentPhase = tracked_call::phase::AwaitingProof;
    m_actions.emplace_back(send_refuse{call.upstream, call.attempt});
}

void call_tracker::complete(tracked_call &call, time_point now)
{
    endAttempt(call, attempt_result::Succeeded, now);
    if (!call.headSent) {
        // A complete answer has a head; without one, frames of the side process were lost.
        onMayHaveRun(call, call_failure::UpstreamFailed, now);
        return;
    }
    finish(call, {call.request.id, execution::Yes, std::nullopt, true});
}

void call_tracker::fail(tracked_call &call, call_failure failure, time_point now)
{
    if (call.currentPhase != tracked_call::phase::Idle)
        call.mayHaveRun = true;
    if (call.currentPhase == tracked_call::phase::InFlight) {
        endAttempt(call, attempt_result::Abandoned, now);
        m_actions.emplace_back(send_cancel{call.upstream, call.attempt});
    }
    const auto ran = executionSoFar(call);
    const auto retryAfter = std::max(call.retryAfter, m_options.defaultRetryAfter);
    finish(call, {call.request.id, ran, makeCallError(failure, ran, retryAfter), call.headSent});
}

void call_tracker::endAttempt(tracked_call &call, attempt_result result, time_point now)
{
    call.currentPhase = tracked_call::phase::Idle;
    m_chooser.onAttemptEnded(call.upstream, result, now);
}

void call_tracker::finish(const tracked_call &call, caller_end end)
{
    m_actions.emplace_back(std::move(end));
    m_requestOfAttempt.erase(call.attempt.value());
    const auto id = call.request.id.value();
    m_due.erase({call.due, id});
    m_calls.erase(id);
}

execution call_tracker::executionSoFar(const tracked_call &call) const
{
    if (call.headSent)
        return execution::Yes;
    if (call.mayHaveRun && m_options.mutation != call_mutation::ClaimNotRun)
        return execution::Unknown;
    return execution::No;
}

void call_tracker::setDue(tracked_call &call, time_point due)
{
    m_due.erase({call.due, call.request.id.value()});
    call.due = due;
    m_due.emplace(due, call.request.id.value());
}

tracked_call *call_tracker::findCall(const std::string &attempt)
{
    const auto request = m_requestOfAttempt.find(attempt);
    if (request == m_requestOfAttempt.end())
        return nullptr;
    const auto call = m_calls.find(request->second);
    return call == m_calls.end() ? nullptr : &call->second;
}

std::vector<std::string> call_tracker::callIdsAt(const upstream_id &upstream) const
{
    std::vector<std::string> ids;
    for (const auto &[id, call] : m_calls) {
        if (call.upstream == upstream)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

call_actions call_tracker::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace tamarack
