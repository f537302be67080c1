// Events of the gate: frames, responses and state changes of the upstream.
#include <tamarackglade/gate/side_gate.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr duration StoppingRetryAfter = std::chrono::milliseconds(100);

} // namespace

side_gate::side_gate(gate_options options, incarnation_number own)
    : m_options(std::move(options)), m_ledger(own, m_options.ledger, m_options.mutation),
      m_pacer(m_options), m_queue(m_options.queue)
{
}

gate_actions side_gate::onStart(const schema::start_call_message &call, connection_id from,
                                time_point now)
{
    const auto name = call_attempt_name::parse(attempt_id(call.attempt));
    if (!name) {
        sendEnd(from, call.attempt, schema::call_outcome::NotStarted, "bad_attempt", "",
                duration::zero());
        return takeActions();
    }
    auto result = m_ledger.admit(*name);
    const bool repeated = result == dedup_result::Duplicate;
    if (repeated && m_options.mutation == gate_mutation::NoDedupe
        && !m_calls.contains(call.attempt))
        result = dedup_result::New;
    switch (result) {
    case dedup_result::New:
        handleNewCall(call, *name, from, now);
        break;
    case dedup_result::Duplicate:
        break; // the connection that started the attempt gets its response
    case dedup_result::Refused:
        sendEnd(from, call.attempt, schema::call_outcome::NotStarted, "refused", "",
                duration::zero());
        break;
    case dedup_result::Unknown:
        sendEnd(from, call.attempt, schema::call_outcome::Unknown, "attempt_forgotten", "",
                duration::zero());
        break;
    }
    return takeActions();
}

gate_actions side_gate::onCancel(const attempt_id &attempt, connection_id from, time_point now)
{
    const auto found = m_calls.find(attempt.value());
    if (found == m_calls.end() || found->second.connection != from)
        return takeActions();
    cancelCall(found->second, "cancelled", now);
    startWaitingCalls(now);
    return takeActions();
}

gate_actions side_gate::onRefuseAttempt(const attempt_id &attempt, connection_id from,
                                        time_point now)
{
    schema::refuse_answer_message answer;
    answer.attempt = attempt.value();
    const auto name = call_attempt_name::parse(attempt);
    answer.never_started = name && m_ledger.ensureNeverStarts(*name, now);
    const auto found = m_calls.find(attempt.value());
    const bool waiting = found != m_calls.end() && !found->second.wasOpened();
    if (answer.never_started && waiting) {
        if (found->second.current == gated_call::phase::Queued)
            m_queue.remove(attempt.value());
        removeCall(found->second);
    }
    send(from, std::move(answer));
    return takeActions();
}

gate_actions side_gate::onConnected(connection_id connection, time_point now)
{
    m_connections.emplace(connection, std::nullopt);
    reportToAll(now);
    return takeActions();
}

gate_actions side_gate::onDisconnected(connection_id connection, time_point now)
{
    m_connections.erase(connection);
    std::vector<std::string> cancelled;
    for (const auto &[id, held] : m_calls) {
        const bool keepsRunning =
            held.current == gated_call::phase::Running && !held.call.repeatable;
        if (held.connection == connection && !keepsRunning)
            cancelled.push_back(id);
    }
    std::sort(cancelled.begin(), cancelled.end());
    for (const auto &id : cancelled)
        cancelCall(m_calls.at(id), "disconnected", now);
    startWaitingCalls(now);
    return takeActions();
}

gate_actions side_gate::onUpstreamHead(const upstream_run &run, std::uint16_t status,
                                       const std::string &contentType, time_point /*now*/)
{
    auto *held = runningCall(run);
    if (!held || held->headSent)
        return takeActions();
    held->headSent = true;
    schema::call_head_message head;
    head.attempt = run.attempt.value();
    head.status = status;
    head.content_type = contentType;
    send(held->connection, std::move(head));
    return takeActions();
}

gate_actions side_gate::onUpstreamData(const upstream_run &run,
                                       const std::vector<std::uint8_t> &data, time_point now)
{
    auto *held = runningCall(run);
    if (!held)
        return takeActions();
    if (held->lastDataAt)
        m_pacer.onTokenGap(m_onlineRunning + m_batchRunning, now - *held->lastDataAt);
    held->lastDataAt = now;
    ++held->dataFramesSent;
    schema::call_data_message message;
    message.attempt = run.attempt.value();
    message.data = data;
    send(held->connection, std::move(message));
    return takeActions();
}

gate_actions side_gate::onUpstreamEnd(const upstream_run &run, time_point now)
{
    if (auto *held = runningCall(run)) {
        endStarted(*held, schema::call_outcome::Complete, "", "", now);
        startWaitingCalls(now);
    }
    return takeActions();
}

gate_actions side_gate::onUpstreamFailed(const upstream_run &run, bool neverSent,
                                         const std::string &message, time_point now)
{
    auto *held = runningCall(run);
    if (!held)
        return takeActions();
    if (neverSent && held->runNumber == 1 && !held->headSent)
        endNotStarted(*held, "upstream_unreachable", duration::zero(), now);
    else
        endStarted(*held, schema::call_outcome::Failed, "upstream_failed", message, now);
    startWaitingCalls(now);
    return takeActions();
}

gate_actions side_gate::onUpstreamState(schema::upstream_state state, time_point now)
{
    if (state == m_state)
        return takeActions();
    m_state = state;
    if (!acceptsCalls())
        endWaitingCalls("upstream_leaving", true, now);
    reportToAll(now);
    startWaitingCalls(now);
    return takeActions();
}

void side_gate::onModelVersion(const std::string &version)
{
    m_modelVersion = version;
}

gate_actions side_gate::onDrain(time_point now)
{
    m_draining = true;
    endWaitingCalls("draining", false, now);
    reportToAll(now);
    return takeActions();
}

bool side_gate::isDrained() const
{
    return m_draining && m_calls.empty();
}

gate_actions side_gate::tick(time_point now)
{
    for (const auto &refusal : m_queue.expire(now))
        endNotStarted(m_calls.at(refusal.id), "deadline", refusal.retryAfter, now);
    expireParked(now);
    m_ledger.tick(now);
    startWaitingCalls(now);
    if (now >= m_nextReportAt)
        reportToAll(now);
    return takeActions();
}

time_point side_gate::nextDeadline(time_point now) const
{
    auto next = m_nextReportAt;
    if (const auto expiry = m_queue.nextDeadline())
        next = std::min(next, *expiry);
    const auto grows = m_pacer.growthAllowedAt(now);
    if (m_parked > 0 && grows)
        next = std::min(next, *grows);
    return next;
}

void side_gate::handleNewCall(const schema::start_call_message &call, const call_attempt_name &name,
                              connection_id from, time_point now)
{
    gated_call held;
    held.call = call;
    held.name = name;
    held.connection = from;
    if (held.isBatch()) {
        if (const auto connection = m_connections.find(from); connection != m_connections.end())
            connection->second = now;
    }
    if (!acceptsCalls())
        endNotStarted(held, m_draining ? "draining" : "upstream_leaving", StoppingRetryAfter, now);
    else if (held.isBatch())
        startBatch(held, now);
    else
        queueOnline(held, now);
}

void side_gate::queueOnline(const gated_call &held, time_point now)
{
    const auto deadline = now + std::chrono::milliseconds(held.call.deadline_ms);
    m_calls.emplace(held.call.attempt, held);
    const auto refusal = m_queue.enqueue(
        {held.call.attempt, customer_id(held.call.customer), held.call.weight, deadline}, now);
    if (refusal)
        endNotStarted(m_calls.at(refusal->id), "overloaded", refusal->retryAfter, now);
    startWaitingCalls(now);
}

void side_gate::startBatch(const gated_call &held, time_point now)
{
    const bool enforcesAlone = m_options.mutation != gate_mutation::IgnoreAlone;
    const bool waitsForOthers =
        enforcesAlone && held.mustRunAlone() && m_batchRunning + m_parked > 0;
    const bool room = waitsForOthers || m_batchRunning + m_parked < currentBatchLimit();
    if (!m_aloneAttempt.empty() || !room || !m_queue.empty() || !m_pacer.mayGrow(now)) {
        endNotStarted(held, "no_batch_slot", m_options.batchGrowthDelay, now);
        return;
    }
    if (enforcesAlone && held.mustRunAlone())
        m_aloneAttempt = held.call.attempt;
    if (waitsForOthers)
        parkUnopened(held, now);
    else
        open(m_calls.emplace(held.call.attempt, held).first->second);
}

void side_gate::parkUnopened(gated_call held, time_point now)
{
    held.current = gated_call::phase::Parked;
    held.parkedUntil = now + m_options.maxParkedAge;
    held.transition = ++m_lastTransition;
    ++m_parked;
    m_calls.emplace(held.call.attempt, std::move(held));
}

bool side_gate::acceptsCalls() const
{
    if (m_options.mutation == gate_mutation::IgnoreLeaving)
        return !m_draining;
    return !m_draining && m_state == schema::upstream_state::Serving;
}

std::size_t side_gate::currentBatchLimit() const
{
    return m_pacer.batchLimit(m_onlineRunning);
}

} // namespace tamarack
