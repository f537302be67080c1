// Starting, parking and ending of calls, and the load reports of the gate.
#include <tamarackglade/gate/side_gate.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

void side_gate::startWaitingCalls(time_point now)
{
    startQueuedOnline(now);
    resumeBatch(now);
}

std::size_t side_gate::onlineLimit() const
{
    const auto limit = m_pacer.onlineLimit();
    if (m_options.mutation != gate_mutation::BatchBeforeOnline)
        return limit;
    return m_batchRunning > 0 ? m_onlineRunning : limit;
}

void side_gate::startQueuedOnline(time_point now)
{
    while (!m_queue.empty() && m_onlineRunning < onlineLimit()) {
        const auto id = m_queue.pop(now);
        yieldBatch(m_onlineRunning + 1, now);
        open(m_calls.at(*id));
    }
    // Calls still queued need the streams of all running batch calls.
    if (!m_queue.empty() && m_options.mutation != gate_mutation::BatchBeforeOnline) {
        while (auto *held = newestRunningBatch())
            park(*held, now);
    }
}

void side_gate::yieldBatch(std::size_t online, time_point now)
{
    const auto limit = m_pacer.batchLimit(online);
    while (m_batchRunning > limit)
        park(*newestRunningBatch(), now);
}

void side_gate::resumeBatch(time_point now)
{
    if (!m_queue.empty() || !m_pacer.mayGrow(now))
        return;
    while (m_parked > 0 && m_batchRunning < currentBatchLimit()) {
        gated_call *oldest = oldestParked();
        if (!mayResume(*oldest))
            return;
        open(*oldest);
    }
}

bool side_gate::mayResume(const gated_call &held) const
{
    if (m_aloneAttempt.empty() || m_batchRunning == 0)
        return true;
    const auto alone = m_calls.find(m_aloneAttempt);
    const bool aloneRuns = alone->second.current == gated_call::phase::Running;
    return !aloneRuns && held.call.attempt != m_aloneAttempt;
}

void side_gate::expireParked(time_point now)
{
    std::vector<std::string> expired;
    for (const auto &[id, held] : m_calls) {
        if (held.current == gated_call::phase::Parked && held.parkedUntil <= now)
            expired.push_back(id);
    }
    std::sort(expired.begin(), expired.end());
    for (const auto &id : expired)
        cancelCall(m_calls.at(id), "yielded", now);
}

void side_gate::open(gated_call &held)
{
    m_ledger.start(held.name);
    if (held.current == gated_call::phase::Parked)
        --m_parked;
    held.current = gated_call::phase::Running;
    held.transition = ++m_lastTransition;
    held.lastDataAt.reset();
    ++held.runNumber;
    countRunning(held, true);
    m_actions.emplace_back(open_upstream{held.run(), held.call, held.dataFramesSent});
}

void side_gate::park(gated_call &held, time_point now)
{
    abortRun(held);
    countRunning(held, false);
    held.current = gated_call::phase::Parked;
    held.parkedUntil = now + m_options.maxParkedAge;
    held.transition = ++m_lastTransition;
    ++m_parked;
    m_pacer.onYield(now);
}

gated_call *side_gate::newestRunningBatch()
{
    gated_call *newest = nullptr;
    for (auto &[id, held] : m_calls) {
        if (!held.isBatch() || held.current != gated_call::phase::Running)
            continue;
        if (!newest || held.transition > newest->transition)
            newest = &held;
    }
    return newest;
}

gated_call *side_gate::oldestParked()
{
    gated_call *oldest = nullptr;
    for (auto &[id, held] : m_calls) {
        if (held.current != gated_call::phase::Parked)
            continue;
        if (!oldest || held.transition < oldest->transition)
            oldest = &held;
    }
    return oldest;
}

bool side_gate::isRunning(const upstream_run &run) const
{
    const auto found = m_calls.find(run.attempt.value());
    return found != m_calls.end() && found->second.current == gated_call::phase::Running
           && found->second.runNumber == run.number;
}

std::optional<connection_id> side_gate::connectionOf(const upstream_run &run) const
{
    if (!isRunning(run))
        return std::nullopt;
    return m_calls.at(run.attempt.value()).connection;
}

gated_call *side_gate::runningCall(const upstream_run &run)
{
    return isRunning(run) ? &m_calls.at(run.attempt.value()) : nullptr;
}

void side_gate::endNotStarted(const gated_call &held, const std::string &code, duration retryAfter,
                              time_point now)
{
    m_ledger.refuse(held.name, now);
    sendEnd(held.connection, held.call.attempt, schema::call_outcome::NotStarted, code, "",
            retryAfter);
    removeCall(held);
}

void side_gate::endStarted(const gated_call &held, schema::call_outcome outcome,
                           const std::string &code, const std::string &message, time_point now)
{
    m_ledger.finish(held.name, now);
    sendEnd(held.connection, held.call.attempt, outcome, code, message, duration::zero());
    removeCall(held);
}

void side_gate::cancelCall(gated_call &held, const std::string &code, time_point now)
{
    switch (held.current) {
    case gated_call::phase::Queued:
        m_queue.remove(held.call.attempt);
        endNotStarted(held, code, duration::zero(), now);
        return;
    case gated_call::phase::Running:
        abortRun(held);
        break;
    case gated_call::phase::Parked:
        if (held.wasOpened())
            break;
        endNotStarted(held, code, duration::zero(), now);
        return;
    }
    endStarted(held, schema::call_outcome::Cancelled, code, "", now);
}

void side_gate::endWaitingCalls(const std::string &code, bool online, time_point now)
{
    if (online) {
        for (const auto &id : m_queue.clear())
            endNotStarted(m_calls.at(id), code, duration::zero(), now);
    }
    while (auto *held = oldestParked())
        cancelCall(*held, code, now);
}

void side_gate::removeCall(const gated_call &held)
{
    const auto found = m_calls.find(held.call.attempt);
    if (found == m_calls.end())
        return;
    if (found->second.current == gated_call::phase::Running)
        countRunning(found->second, false);
    if (found->second.current == gated_call::phase::Parked)
        --m_parked;
    if (found->first == m_aloneAttempt)
        m_aloneAttempt.clear();
    m_calls.erase(found);
}

void side_gate::countRunning(const gated_call &held, bool running)
{
    auto &count = held.isBatch() ? m_batchRunning : m_onlineRunning;
    running ? ++count : --count;
}

void side_gate::abortRun(const gated_call &held)
{
    m_actions.emplace_back(abort_upstream{held.run()});
}

void side_gate::sendEnd(connection_id to, const std::string &attempt, schema::call_outcome outcome,
                        const std::string &code, const std::string &message, duration retryAfter)
{
    using std::chrono::milliseconds;
    schema::call_end_message end;
    end.attempt = attempt;
    end.outcome = outcome;
    end.code = code;
    end.message = message;
    end.retry_after_ms =
        static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(retryAfter).count());
    send(to, std::move(end));
}

void side_gate::send(connection_id to, side_frame frame)
{
    if (m_connections.contains(to))
        m_actions.emplace_back(send_frame{to, std::move(frame)});
}

void side_gate::reportToAll(time_point now)
{
    m_nextReportAt = now + m_options.reportInterval;
    schema::load_report_message report;
    report.group = m_options.group;
    report.kind = m_options.kind;
    report.state =
        acceptsCalls() ? schema::upstream_state::Serving : schema::upstream_state::Leaving;
    if (m_state == schema::upstream_state::Down)
        report.state = m_state;
    report.model_version = m_modelVersion;
    report.online_active = static_cast<std::uint32_t>(m_onlineRunning);
    report.batch_active = static_cast<std::uint32_t>(m_batchRunning);
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    const auto iteration = m_pacer.predictedIteration(m_onlineRunning + m_batchRunning);
    report.iteration_us = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(iteration).count());
    std::size_t position = 0;
    for (const auto &[connection, lastBatchAt] : m_connections) {
        report.batch_credits = creditsFor(connection, position++, now);
        m_actions.emplace_back(send_frame{connection, report});
    }
}

std::uint32_t side_gate::creditsFor(connection_id connection, std::size_t position,
                                    time_point now) const
{
    const auto used = m_batchRunning + m_parked;
    const auto room = currentBatchLimit();
    const bool full = room <= used || !m_aloneAttempt.empty();
    if (!acceptsCalls() || !m_queue.empty() || !m_pacer.mayGrow(now) || full)
        return 0;
    const auto interested = [&](const auto &entry) {
        return entry.second && *entry.second + m_options.interestWindow > now;
    };
    const auto count = static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), interested));
    const auto own = m_connections.find(connection);
    if (own == m_connections.end() || !interested(*own))
        return 1; // lets the connection send a batch call and so take part in the sharing
    const auto free = room - used;
    const bool extra = position < free % count;
    return static_cast<std::uint32_t>(free / count + (extra ? 1 : 0));
}

gate_actions side_gate::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace tamarack
