// Translates frames and upstream answers into events of the gate, and its actions into I/O.
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/side/side_server.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::chrono::milliseconds QueueCheckInterval{1};
constexpr std::size_t MaxQueuedBytes = 1024 * 1024; // of frames, before streams wait
constexpr std::size_t ForwardBytes = 64 * 1024; // of a whole body in one frame

connection_id connectionIdOf(const std::shared_ptr<wire_peer> &peer)
{
    return connection_id(peer->connectionId());
}

} // namespace

// Passes the upstream's answer to the gate. An answer that isn't streamed is buffered until it is
// complete, so that a batch run that yields to online calls has forwarded no part of it.
class side_server::run_events final : public upstream_events
{
public:
    /// @param answer the answer so far of a resumable batch call; null for other calls
    run_events(side_server &server, upstream_run run, bool streamed,
               std::shared_ptr<held_answer> answer)
        : m_server(server), m_run(std::move(run)), m_streamed(streamed),
          m_held(server.m_responseBytes), m_answer(std::move(answer))
    {
    }

    void onHead(unsigned status, const std::string &contentType) override
    {
        m_status = static_cast<std::uint16_t>(status);
        m_contentType = contentType;
        if (m_streamed)
            forwardHead();
        if (m_answer && m_answer->answer.onHead(status, contentType) == run_response::WholeAnswer)
            m_answer.reset();
    }
    bool onData(std::string data) override
    {
        if (m_streamed) {
            forwardData(data);
            m_server.waitForRoom(m_run);
            return true;
        }
        if (!m_answer) {
            m_bufferedBody += data;
            return m_held.set(m_bufferedBody.size());
        }
        if (m_server.m_gate.isRunning(m_run))
            m_answer->answer.onData(data);
        return m_answer->held.set(m_answer->answer.heldBytes());
    }
    void onEnd(upstream_end end, const std::string &message) override
    {
        m_server.finishRun(m_run);
        if (end == upstream_end::Complete && m_answer && !m_answer->answer.isComplete()) {
            reportIncomplete();
            return;
        }
        if (end == upstream_end::Complete) {
            assembleAnswer();
            forwardBufferedBody();
            m_server.perform(m_server.m_gate.onUpstreamEnd(m_run, steadyNow()));
            return;
        }
        const bool neverSent = end == upstream_end::NotSent;
        m_server.perform(m_server.m_gate.onUpstreamFailed(m_run, neverSent, message, steadyNow()));
    }

private:
    void forwardHead()
    {
        m_server.perform(
            m_server.m_gate.onUpstreamHead(m_run, m_status, m_contentType, steadyNow()));
    }
    void forwardData(const std::string &data)
    {
        m_server.perform(
            m_server.m_gate.onUpstreamData(m_run, {data.begin(), data.end()}, steadyNow()));
    }
    void reportIncomplete()
    {
        const std::string &failure = m_answer->answer.failure();
        const std::string reason =
            failure.empty() ? "the stream ended before it was complete" : failure;
        m_server.perform(m_server.m_gate.onUpstreamFailed(m_run, false, reason, steadyNow()));
    }
    void assembleAnswer()
    {
        if (!m_answer)
            return;
        m_contentType = "application/json";
        m_bufferedBody = m_answer->answer.body();
    }
    void forwardBufferedBody()
    {
        if (m_streamed)
            return;
        forwardHead();
        for (std::size_t at = 0; at < m_bufferedBody.size(); at += ForwardBytes)
            forwardData(m_bufferedBody.substr(at, ForwardBytes));
    }

    side_server &m_server;
    upstream_run m_run;
    bool m_streamed;
    std::uint16_t m_status = 0;
    std::string m_contentType;
    std::string m_bufferedBody; // body of an answer that isn't streamed
    byte_quota::share m_held; // counts m_bufferedBody
    std::shared_ptr<held_answer> m_answer;
};

side_server::side_server(io_thread &thread, metric_registry &metrics, side_options options,
                         incarnation_number self)
    : m_thread(thread), m_metrics(metrics), m_options(std::move(options)),
      m_gate(m_options.gate, self), m_responseBytes(m_options.responseBytes)
{
}

void side_server::start()
{
    m_thread.spawn([this] { tickLoop(); });
}

void side_server::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    m_peers[connectionIdOf(peer)] = peer;
    perform(m_gate.onConnected(connectionIdOf(peer), steadyNow()));
}

void side_server::onFrame(const std::shared_ptr<wire_peer> &peer,
                          const schema::frame_message &frame)
{
    if (const auto *start = frame.body.Asstart_call())
        perform(m_gate.onStart(*start, connectionIdOf(peer), steadyNow()));
    else if (const auto *cancel = frame.body.Ascancel_call())
        perform(m_gate.onCancel(attempt_id(cancel->attempt), connectionIdOf(peer), steadyNow()));
    else if (const auto *refuse = frame.body.Asrefuse_attempt())
        perform(
            m_gate.onRefuseAttempt(attempt_id(refuse->attempt), connectionIdOf(peer), steadyNow()));
}

void side_server::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    m_peers.erase(connectionIdOf(peer));
    perform(m_gate.onDisconnected(connectionIdOf(peer), steadyNow()));
}

void side_server::waitForRoom(const upstream_run &run)
{
    for (;;) {
        const auto connection = m_gate.connectionOf(run);
        const auto peer = connection ? m_peers.find(*connection) : m_peers.end();
        if (peer == m_peers.end() || peer->second->queuedBytes() < MaxQueuedBytes)
            return;
        boost::this_fiber::sleep_for(QueueCheckInterval);
    }
}

void side_server::drain()
{
    if (std::exchange(m_draining, true))
        return;
    perform(m_gate.onDrain(steadyNow()));
}

void side_server::tickLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(TickInterval);
        perform(m_gate.tick(steadyNow()));
        removeEndedAnswers();
        m_metrics.set("tamarack_side_online_running", static_cast<double>(m_gate.onlineRunning()));
        m_metrics.set("tamarack_side_batch_running", static_cast<double>(m_gate.batchRunning()));
        m_metrics.set("tamarack_side_online_queued", static_cast<double>(m_gate.onlineQueued()));
    }
}

void side_server::perform(const gate_actions &actions)
{
    for (const gate_action &action : actions) {
        if (const auto *opened = std::get_if<open_upstream>(&action)) {
            open(*opened);
        } else if (const auto *aborted = std::get_if<abort_upstream>(&action)) {
            const auto found = m_running.find(aborted->run);
            if (found != m_running.end())
                found->second->abort();
        } else {
            send(std::get<send_frame>(action));
        }
    }
}

void side_server::open(const open_upstream &action)
{
    const schema::start_call_message &call = action.call;
    upstream_request request;
    request.method = call.method;
    request.target = call.target;
    request.contentType = call.content_type;
    request.body.assign(call.body.begin(), call.body.end());
    request.requestId = call.request_id;
    request.timeout = std::chrono::milliseconds(call.deadline_ms);
    const auto answer = findOrCreateAnswer(call);
    if (answer) {
        if (answer->answer.tokenCount() > 0)
            m_metrics.add("tamarack_side_resumed_tokens_total",
                          static_cast<double>(answer->answer.tokenCount()));
        request.body = answer->answer.beginRun();
    }
    auto events = std::make_shared<run_events>(*this, action.run, call.streamed, answer);
    auto running = std::make_shared<upstream_call>(m_thread, m_options.upstreamAddress,
                                                   std::move(request), std::move(events));
    m_running[action.run] = running;
    m_metrics.add("tamarack_side_upstream_calls_total");
    running->start();
}

void side_server::send(const send_frame &action)
{
    const auto peer = m_peers.find(action.connection);
    if (peer == m_peers.end())
        return;
    std::visit([&](const auto &message) { peer->second->send(frameBody(message)); }, action.frame);
}

std::shared_ptr<side_server::held_answer>
side_server::findOrCreateAnswer(const schema::start_call_message &call)
{
    const bool isBatch = call.call_class == schema::call_class::Batch;
    if (!isBatch || call.streamed || m_options.gate.kind != schema::upstream_kind::Engine)
        return nullptr;
    if (const auto existing = m_answers.find(call.attempt); existing != m_answers.end())
        return existing->second;
    const std::string_view body(reinterpret_cast<const char *>(call.body.data()), call.body.size());
    auto answer = resumable_answer::fromRequest(call.target, body);
    if (!answer)
        return nullptr;
    auto stored = std::make_shared<held_answer>(std::move(*answer), m_responseBytes);
    m_answers[call.attempt] = stored;
    return stored;
}

void side_server::removeEndedAnswers()
{
    std::erase_if(m_answers,
                  [&](const auto &entry) { return !m_gate.holds(attempt_id(entry.first)); });
}

void side_server::finishRun(const upstream_run &run)
{
    m_running.erase(run);
}

} // namespace tamarack
