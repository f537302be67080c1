// The calls simulation: events, faults and the oracle.
#include "support/calls_simulation.hpp"

#include <algorithm>

namespace tamarack::test {

using namespace std::chrono_literals;

namespace {

constexpr int OnlineTokens = 4;
constexpr int BatchTokens = 60;
constexpr duration TokenGap = 10ms;
constexpr duration RequestDeadline = 5s;
constexpr duration LeaveNotice = 1s; // until the side is notified that its upstream leaves
constexpr duration LeaveLimit = 3s;

upstream_id nameOf(std::size_t side)
{
    return upstream_id("u" + std::to_string(side));
}

std::size_t indexOf(const upstream_id &upstream)
{
    return static_cast<std::size_t>(std::stoi(upstream.value().substr(1)));
}

std::string tokenOf(const std::string &request, std::uint64_t index)
{
    return request + "#" + std::to_string(index) + " ";
}

int tokensOf(schema::call_class callClass)
{
    return callClass == schema::call_class::Batch ? BatchTokens : OnlineTokens;
}

} // namespace

/// Chooses upstreams at random, so that all gates receive calls.
class calls_simulation::random_chooser : public upstream_chooser
{
public:
    random_chooser(std::size_t sides, std::uint64_t seed) : m_sides(sides), m_random(seed) { }

    std::optional<upstream_id> choose(const route_query &query, time_point /*now*/) override
    {
        std::vector<upstream_id> left;
        for (std::size_t side = 0; side < m_sides; ++side) {
            const auto &excluded = query.excluded;
            if (std::find(excluded.begin(), excluded.end(), nameOf(side)) == excluded.end())
                left.push_back(nameOf(side));
        }
        if (left.empty())
            return std::nullopt;
        return left[m_random() % left.size()];
    }
    void onAttemptStarted(const upstream_id & /*upstream*/, time_point /*now*/) override { }
    void onAttemptEnded(const upstream_id & /*upstream*/, attempt_result /*result*/,
                        time_point /*now*/) override
    {
    }

private:
    std::size_t m_sides;
    std::mt19937_64 m_random;
};

calls_simulation::calls_simulation(const simulation_options &options)
    : m_options(options), m_random(options.seed), m_entries(options.entries), m_sides(options.sides)
{
    for (std::size_t side = 0; side < m_sides.size(); ++side)
        startSide(side);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        startEntry(entry);
}

calls_simulation::~calls_simulation() = default;

void calls_simulation::at(time_point when, std::function<void()> action)
{
    m_events.emplace(std::max(when, m_now), std::move(action));
}

void calls_simulation::advance(duration by)
{
    constexpr duration Tick = 10ms;
    const auto until = m_now + by;
    while (m_now < until) {
        const auto step = m_now + Tick;
        while (!m_events.empty() && m_events.begin()->first <= step) {
            auto node = m_events.extract(m_events.begin());
            m_now = std::max(m_now, node.key());
            node.mapped()();
        }
        m_now = step;
        tickAll();
    }
}

bool calls_simulation::isPaused(const pause_state &pause) const
{
    return pause.until > m_now || !pause.deferred.empty();
}

void calls_simulation::pauseFor(pause_state &pause, duration length)
{
    pause.until = std::max(pause.until, m_now + length);
    at(pause.until, [&] { resume(pause); });
}

void calls_simulation::resume(pause_state &pause)
{
    if (pause.until > m_now)
        return;
    for (const auto &action : std::exchange(pause.deferred, {}))
        action();
}

void calls_simulation::onEntry(std::size_t entry, incarnation_number incarnation,
                               const std::function<void()> &action)
{
    auto &node = m_entries[entry];
    if (node.incarnation != incarnation)
        return;
    if (isPaused(node.pause))
        node.pause.deferred.push_back([=, this] { onEntry(entry, incarnation, action); });
    else
        action();
}

void calls_simulation::onSide(std::size_t side, incarnation_number incarnation,
                              const std::function<void()> &action)
{
    auto &node = m_sides[side];
    if (node.incarnation != incarnation)
        return;
    if (isPaused(node.pause)) {
        node.pause.deferred.push_back([=, this] { onSide(side, incarnation, action); });
        return;
    }
    action();
    checkSide(side);
}

void calls_simulation::startEntry(std::size_t entry)
{
    auto &node = m_entries[entry];
    tracker_options options;
    options.mutation = m_options.callFault;
    const vm_id vm("e" + std::to_string(entry));
    node.chooser = std::make_unique<random_chooser>(m_sides.size(), m_random());
    node.tracker = std::make_unique<call_tracker>(options, vm, node.incarnation, *node.chooser);
    node.index = std::make_unique<idempotency_index>();
    node.folded = 0;
    const auto prefix = vm.value() + "/" + std::to_string(node.incarnation.value());
    node.keyedTracker =
        std::make_unique<keyed_call_tracker>(*node.index, prefix, 1s, 1024, m_options.keyedFault);
    node.pause = {};
    foldLog(entry);
    for (std::size_t side = 0; side < m_sides.size(); ++side)
        connect(entry, side);
}

void calls_simulation::startSide(std::size_t side)
{
    auto &node = m_sides[side];
    gate_options options;
    options.maxStreams = 3;
    options.mutation = m_options.gateFault;
    options.ledger.retention = 20s;
    node.gate = std::make_unique<side_gate>(options, node.incarnation);
    node.pause = {};
    node.draining = false;
    node.leftAt = time_point::max();
    node.runs.clear();
}

void calls_simulation::connect(std::size_t entry, std::size_t side)
{
    const auto incarnation = m_entries[entry].incarnation;
    if (isPaused(m_entries[entry].pause) || isPaused(m_sides[side].pause)) {
        at(m_now + 100ms, [=, this] {
            if (m_entries[entry].incarnation == incarnation && !m_current.contains({entry, side}))
                connect(entry, side);
        });
        return;
    }
    connection opened;
    opened.id = connection_id(++m_lastConnection);
    opened.entry = entry;
    opened.side = side;
    opened.entryIncarnation = incarnation;
    opened.sideIncarnation = m_sides[side].incarnation;
    m_connections[opened.id] = opened;
    m_current[{entry, side}] = opened.id;
    perform(side, m_sides[side].gate->onConnected(opened.id, m_now));
    perform(entry,
            m_entries[entry].tracker->onSideConnected(nameOf(side), opened.sideIncarnation, m_now));
}

void calls_simulation::cut(std::size_t entry, std::size_t side, bool toSide, bool toEntry)
{
    const auto current = m_current.find({entry, side});
    if (current == m_current.end())
        return;
    const auto id = current->second;
    auto &broken = m_connections[id];
    broken.lossyToSide |= toSide;
    broken.lossyToEntry |= toEntry;
    at(m_now + 300ms, [=, this] { closeAtEntry(id); });
    at(m_now + 300ms + randomDelay() * 20, [=, this] { closeAtSide(id); });
}

void calls_simulation::stallToSide(std::size_t entry, std::size_t side, duration length)
{
    const auto current = m_current.find({entry, side});
    if (current == m_current.end())
        return;
    const auto id = current->second;
    m_connections[id].lastToSide = m_now + length;
    at(m_now + 300ms, [=, this] { closeAtEntry(id); });
    at(m_now + length + 500ms, [=, this] { closeAtSide(id); });
}

void calls_simulation::closeAtEntry(connection_id id)
{
    const auto link = m_connections[id];
    onEntry(link.entry, link.entryIncarnation, [=, this] {
        if (!std::exchange(m_connections[id].openAtEntry, false))
            return;
        const std::pair pair(link.entry, link.side);
        if (m_current.contains(pair) && m_current[pair] == id)
            m_current.erase(pair);
        auto &node = m_entries[link.entry];
        perform(link.entry, node.tracker->onSideDisconnected(nameOf(link.side), m_now));
        const auto incarnation = node.incarnation;
        at(m_now + 200ms, [=, this] {
            if (m_entries[link.entry].incarnation == incarnation && !m_current.contains(pair))
                connect(link.entry, link.side);
        });
    });
}

void calls_simulation::closeAtSide(connection_id id)
{
    const auto link = m_connections[id];
    onSide(link.side, link.sideIncarnation, [=, this] {
        if (std::exchange(m_connections[id].openAtSide, false))
            perform(link.side, m_sides[link.side].gate->onDisconnected(id, m_now));
    });
}

void calls_simulation::killEntry(std::size_t entry)
{
    for (auto &[id, link] : m_connections) {
        if (link.entry == entry && link.openAtSide)
            at(m_now + randomDelay(), [this, id = id] { closeAtSide(id); });
    }
    std::erase_if(m_current, [&](const auto &e) { return e.first.first == entry; });
    for (auto &[id, record] : m_requests)
        record.lost |= record.entry == entry && !record.ended;
    m_entries[entry].incarnation = incarnation_number(m_entries[entry].incarnation.value() + 1);
    startEntry(entry);
}

void calls_simulation::restartSide(std::size_t side)
{
    for (auto &[id, link] : m_connections) {
        if (link.side == side && link.openAtEntry)
            at(m_now + randomDelay(), [this, id = id] { closeAtEntry(id); });
    }
    m_sides[side].incarnation = incarnation_number(m_sides[side].incarnation.value() + 1);
    startSide(side);
}

void calls_simulation::send(std::size_t entry, schema::call_class callClass, bool repeatable,
                            const std::string &key)
{
    auto &node = m_entries[entry];
    if (isPaused(node.pause))
        return;
    const auto id = "r" + std::to_string(++m_lastRequest);
    request_record record;
    record.entry = entry;
    record.repeatable = repeatable;
    record.key = key;
    for (int i = 0; i < tokensOf(callClass); ++i)
        record.expected += tokenOf(id, static_cast<std::uint64_t>(i));
    m_requests.emplace(id, record);
    if (!key.empty()) {
        const keyed_request request{request_id(id), customer_id("c"), key, 7,
                                    m_now + RequestDeadline};
        perform(entry, node.keyedTracker->onRequest(request, !m_logDown, m_now));
        return;
    }
    tracked_request request;
    request.id = request_id(id);
    request.deadline = m_now + RequestDeadline;
    request.call.call_class = callClass;
    request.call.repeatable = repeatable;
    request.call.customer = "c" + std::to_string(m_random() % 3);
    request.call.weight = 1;
    perform(entry, node.tracker->onRequest(request, m_now));
}

void calls_simulation::perform(std::size_t entry, const call_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<send_start>(&action)) {
            const auto frame = start->frame;
            toSide(entry, start->upstream, [=, this](side_gate &gate, connection_id from) {
                return gate.onStart(frame, from, m_now);
            });
        } else if (const auto *cancel = std::get_if<send_cancel>(&action)) {
            toSide(entry, cancel->upstream,
                   [this, attempt = cancel->attempt](side_gate &gate, connection_id from) {
                       return gate.onCancel(attempt, from, m_now);
                   });
        } else if (const auto *refuse = std::get_if<send_refuse>(&action)) {
            toSide(entry, refuse->upstream,
                   [this, attempt = refuse->attempt](side_gate &gate, connection_id from) {
                       return gate.onRefuseAttempt(attempt, from, m_now);
                   });
        } else if (const auto *data = std::get_if<caller_data>(&action)) {
            auto &record = m_requests[data->request.value()];
            record.text.append(data->data.begin(), data->data.end());
            if (record.ended)
                violation("data after the end of " + data->request.value());
        } else if (const auto *end = std::get_if<caller_end>(&action)) {
            onAnswerEnd(*end);
            const auto &record = m_requests[end->request.value()];
            if (!record.key.empty())
                perform(entry, m_entries[entry].keyedTracker->onCallEnded(
                                   end->request, end->ran, 200, "text/plain",
                                   {record.text.begin(), record.text.end()}));
        }
    }
}

void calls_simulation::perform(std::size_t entry, const keyed_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *started = std::get_if<append_started>(&action)) {
            appendKeyed(entry, started->record);
        } else if (const auto *finished = std::get_if<append_finished>(&action)) {
            appendKeyed(entry, finished->record);
        } else if (const auto *run = std::get_if<run_keyed>(&action)) {
            tracked_request request;
            request.id = run->request;
            request.deadline = m_now + RequestDeadline;
            perform(entry, m_entries[entry].tracker->onRequest(request, m_now));
        } else if (const auto *replay = std::get_if<replay_answer>(&action)) {
            // The answer is the first request's, so its text is not compared.
            auto &record = m_requests[replay->request.value()];
            record.text = record.expected;
            onAnswerEnd({replay->request, execution::Yes, std::nullopt, true});
        } else if (const auto *end = std::get_if<caller_end>(&action)) {
            onAnswerEnd(*end);
        }
    }
}

void calls_simulation::perform(std::size_t side, const gate_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *opening = std::get_if<open_upstream>(&action))
            open(side, *opening);
        else if (const auto *aborted = std::get_if<abort_upstream>(&action))
            m_sides[side].runs.erase(aborted->run);
        else if (const auto *sent = std::get_if<send_frame>(&action))
            toEntry(sent->connection, sent->frame);
    }
}

void calls_simulation::toSide(std::size_t entry, const upstream_id &upstream,
                              const std::function<gate_actions(side_gate &, connection_id)> &event)
{
    const auto current = m_current.find({entry, indexOf(upstream)});
    if (current == m_current.end() || m_connections[current->second].lossyToSide)
        return;
    auto &link = m_connections[current->second];
    const auto id = link.id;
    const auto side = link.side;
    link.lastToSide = std::max(link.lastToSide, m_now + randomDelay());
    const auto arrive = [=, this] {
        onSide(side, m_connections[id].sideIncarnation, [=, this] {
            if (m_connections[id].openAtSide)
                perform(side, event(*m_sides[side].gate, id));
        });
    };
    at(link.lastToSide, arrive);
    if (m_duplicating)
        at(link.lastToSide + randomDelay() * 10, arrive);
}

void calls_simulation::toEntry(connection_id id, const side_frame &frame)
{
    auto &link = m_connections[id];
    if (link.lossyToEntry)
        return;
    const auto entry = link.entry;
    const auto incarnation = link.entryIncarnation;
    link.lastToEntry = std::max(link.lastToEntry, m_now + randomDelay());
    const auto arrive = [=, this] {
        onEntry(entry, incarnation, [=, this] { deliver(entry, frame); });
    };
    at(link.lastToEntry, arrive);
    // Only end frames are repeated: TCP delivers the frames of an answer once and in order.
    if (m_duplicating && std::holds_alternative<schema::call_end_message>(frame))
        at(link.lastToEntry + randomDelay() * 10, arrive);
}

void calls_simulation::deliver(std::size_t entry, const side_frame &frame)
{
    auto &tracker = *m_entries[entry].tracker;
    if (const auto *head = std::get_if<schema::call_head_message>(&frame))
        perform(entry, tracker.onHead(*head, m_now));
    else if (const auto *data = std::get_if<schema::call_data_message>(&frame))
        perform(entry, tracker.onData(*data, m_now));
    else if (const auto *end = std::get_if<schema::call_end_message>(&frame))
        perform(entry, tracker.onEnd(*end, m_now));
    else if (const auto *answer = std::get_if<schema::refuse_answer_message>(&frame))
        perform(entry, tracker.onRefuseAnswer(*answer, m_now));
}

void calls_simulation::onAnswerEnd(const caller_end &end)
{
    const auto id = end.request.value();
    auto &record = m_requests[id];
    if (std::exchange(record.ended, true))
        violation("two ends of " + id);
    record.ran = end.ran;
    end.error ? ++m_failed : ++m_completed;
    if (!end.error && record.text != record.expected)
        violation("wrong answer of " + id + ": " + record.text);
    if (end.error && end.error->ran != end.ran)
        violation("contradicting end of " + id);
}

void calls_simulation::open(std::size_t side, const open_upstream &action)
{
    auto &node = m_sides[side];
    const auto incarnation = node.incarnation;
    if (node.refuseOpens > 0) {
        --node.refuseOpens;
        at(m_now + 1ms, [=, this] {
            onSide(side, incarnation, [=, this] {
                perform(side, m_sides[side].gate->onUpstreamFailed(action.run, true, "", m_now));
            });
        });
        return;
    }
    if (action.run.number == 1) {
        const auto lateLimit = std::max(node.leftAt, node.lastFault);
        if (node.leftAt != time_point::max() && m_now > lateLimit + LeaveLimit)
            violation("new work to leaving " + nameOf(side).value());
        const auto &record = m_requests[action.call.request_id];
        if (++m_executions[action.call.request_id] > 1 && !record.repeatable)
            violation("ran twice: " + action.call.request_id);
    }
    node.runs[action.run] = action.call;
    at(m_now + TokenGap, [=, this] {
        onSide(side, incarnation, [=, this] {
            if (!m_sides[side].runs.contains(action.run))
                return;
            perform(side, m_sides[side].gate->onUpstreamHead(action.run, 200, "text/plain", m_now));
            emitToken(side, action.run, action.resumeFrom);
        });
    });
}

void calls_simulation::emitToken(std::size_t side, const upstream_run &run, std::uint64_t index)
{
    auto &node = m_sides[side];
    const auto found = node.runs.find(run);
    if (found == node.runs.end())
        return;
    const auto call = found->second;
    if (index == static_cast<std::uint64_t>(tokensOf(call.call_class))) {
        node.runs.erase(found);
        perform(side, node.gate->onUpstreamEnd(run, m_now));
        return;
    }
    const auto token = tokenOf(call.request_id, index);
    perform(side, node.gate->onUpstreamData(run, {token.begin(), token.end()}, m_now));
    const auto incarnation = node.incarnation;
    at(m_now + TokenGap,
       [=, this] { onSide(side, incarnation, [=, this] { emitToken(side, run, index + 1); }); });
}

void calls_simulation::checkSide(std::size_t side)
{
    const auto &node = m_sides[side];
    const auto isBatch = [](const auto &e) {
        return e.second.call_class == schema::call_class::Batch;
    };
    if (node.gate->onlineQueued() > 0 && std::any_of(node.runs.begin(), node.runs.end(), isBatch))
        violation("online waits behind batch at " + nameOf(side).value());
}

void calls_simulation::appendKeyed(std::size_t entry, const keyed_record &record)
{
    const auto incarnation = m_entries[entry].incarnation;
    at(m_now + randomDelay(), [=, this] {
        onEntry(entry, incarnation, [=, this] {
            if (m_logDown) {
                appendKeyed(entry, record);
                return;
            }
            m_log.push_back(record);
            if (m_random() % 4 == 0)
                appendKeyed(entry, record); // the acknowledgement was lost
        });
    });
}

void calls_simulation::foldLog(std::size_t entry)
{
    auto &node = m_entries[entry];
    if (node.folded == m_log.size())
        return;
    while (node.folded < m_log.size()) {
        const auto &record = m_log[node.folded++];
        std::visit([&](const auto &r) { node.index->apply(r, log_offset(node.folded)); }, record);
    }
    perform(entry, node.keyedTracker->onFolded(m_now));
}

void calls_simulation::tickAll()
{
    for (std::size_t side = 0; side < m_sides.size(); ++side) {
        auto &node = m_sides[side];
        if (isPaused(node.pause))
            continue;
        perform(side, node.gate->tick(m_now));
        checkSide(side);
        if (node.gate->isDrained())
            restartSide(side);
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        auto &node = m_entries[entry];
        if (isPaused(node.pause))
            continue;
        perform(entry, node.tracker->tick(m_now));
        perform(entry, node.keyedTracker->tick(m_now));
        if (!m_logDown && m_random() % 4 == 0)
            foldLog(entry);
    }
}

void calls_simulation::violation(const std::string &text)
{
    m_violations.push_back(text);
}

duration calls_simulation::randomDelay()
{
    if (m_slow)
        return std::chrono::milliseconds(1 + m_random() % 400);
    return std::chrono::milliseconds(1 + m_random() % 5);
}

void calls_simulation::run(const calls_command &command)
{
    using kind = calls_command::kind;
    const auto entry = command.a % m_entries.size();
    const auto side = command.b % m_sides.size();
    const auto incarnation = m_sides[side].incarnation;
    const auto state = [=, this](schema::upstream_state value, duration delay) {
        at(m_now + delay, [=, this] {
            onSide(side, incarnation,
                   [=, this] { perform(side, m_sides[side].gate->onUpstreamState(value, m_now)); });
        });
    };
    switch (command.what) {
    case kind::SendOnline:
        send(entry, schema::call_class::Online, true, "");
        break;
    case kind::SendOnce:
        send(entry, schema::call_class::Online, false, "");
        break;
    case kind::SendKeyed:
        send(entry, schema::call_class::Online, false, "k" + std::to_string(command.b % 4));
        break;
    case kind::SendBatch:
        send(entry, schema::call_class::Batch, true, "");
        break;
    case kind::CallerDisconnected:
        if (m_lastRequest > 0) {
            const auto id = "r" + std::to_string(m_lastRequest);
            const auto &record = m_requests[id];
            if (record.key.empty() && !isPaused(m_entries[record.entry].pause))
                perform(record.entry, m_entries[record.entry].tracker->onCallerDisconnected(
                                          request_id(id), m_now));
        }
        break;
    case kind::KillEntry:
        killEntry(entry);
        break;
    case kind::RestartSide:
        restartSide(side);
        break;
    case kind::CutBoth:
        cut(entry, side, true, true);
        break;
    case kind::CutToSide:
        cut(entry, side, true, false);
        break;
    case kind::CutToEntry:
        cut(entry, side, false, true);
        break;
    case kind::StallToSide:
        stallToSide(entry, side, std::chrono::milliseconds(500 + command.a % 3000));
        break;
    case kind::SlowLink:
        m_slow = !m_slow;
        break;
    case kind::DuplicateFrames:
        m_duplicating = !m_duplicating;
        break;
    case kind::PauseSide:
        pauseFor(m_sides[side].pause, std::chrono::milliseconds(command.a % 8000));
        m_sides[side].lastFault = m_sides[side].pause.until;
        break;
    case kind::PauseEntry:
        pauseFor(m_entries[entry].pause, std::chrono::milliseconds(command.b % 8000));
        break;
    case kind::Leave:
        if (m_sides[side].leftAt == time_point::max()) {
            m_sides[side].leftAt = m_now;
            state(schema::upstream_state::Leaving, LeaveNotice);
        }
        break;
    case kind::Return:
        if (m_sides[side].leftAt != time_point::max()
            && m_now > m_sides[side].leftAt + LeaveNotice) {
            m_sides[side].leftAt = time_point::max();
            state(schema::upstream_state::Serving, duration::zero());
        }
        break;
    case kind::Drain:
        onSide(side, incarnation, [=, this] { perform(side, m_sides[side].gate->onDrain(m_now)); });
        break;
    case kind::CrashRuns: {
        const auto runs = std::exchange(m_sides[side].runs, {});
        for (const auto &[run, call] : runs) {
            onSide(side, incarnation, [this, side, run = run] {
                perform(side, m_sides[side].gate->onUpstreamFailed(run, false, "crash", m_now));
            });
        }
        break;
    }
    case kind::RefuseOpen:
        ++m_sides[side].refuseOpens;
        break;
    case kind::LogDown:
        m_logDown = true;
        break;
    case kind::LogUp:
        m_logDown = false;
        break;
    case kind::Advance:
    case kind::Last:
        advance(std::chrono::milliseconds(10 + command.a % 600));
        break;
    }
}

void calls_simulation::settle()
{
    m_logDown = false;
    m_slow = false;
    m_duplicating = false;
    advance(30s);
    std::map<std::string, int> executionsOfKey;
    for (const auto &[id, record] : m_requests) {
        if (!record.ended && !record.lost)
            violation("no end of " + id);
        const auto ran = m_executions.contains(id) ? m_executions.at(id) : 0;
        if (record.ended && record.ran == execution::No && ran > 0)
            violation("said not run, but ran: " + id);
        if (!record.key.empty())
            executionsOfKey[record.key] += ran;
    }
    for (const auto &[key, count] : executionsOfKey) {
        if (count > 1)
            violation("key ran twice: " + key);
    }
}

} // namespace tamarack::test
