// Calls by attempt; answers go back on the connection that asked.
#include <tamarackglade/side/side_server.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

// Translates the upstream's answer to frames.
class side_server::running_events final : public upstream_events
{
public:
    running_events(side_server &server, std::shared_ptr<wire_peer> peer, std::string attempt)
        : m_server(server), m_peer(std::move(peer)), m_attempt(std::move(attempt))
    {
    }

    void onHead(unsigned status, const std::string &contentType) override
    {
        schema::call_head_message head;
        head.attempt = m_attempt;
        head.status = static_cast<std::uint16_t>(status);
        head.content_type = contentType;
        m_peer->send(frameBody(head));
    }
    void onData(std::string data) override
    {
        schema::call_data_message message;
        message.attempt = m_attempt;
        message.data.assign(data.begin(), data.end());
        m_peer->send(frameBody(message));
    }
    void onEnd(upstream_end end, const std::string &message) override
    {
        schema::call_end_message answer;
        answer.attempt = m_attempt;
        answer.outcome = outcomeOf(end);
        answer.message = message;
        m_server.finishCall(m_attempt);
        m_peer->send(frameBody(answer));
    }

private:
    static schema::call_outcome outcomeOf(upstream_end end)
    {
        switch (end) {
        case upstream_end::Complete:
            return schema::call_outcome::Complete;
        case upstream_end::NotSent:
            return schema::call_outcome::NotStarted;
        case upstream_end::Aborted:
            return schema::call_outcome::Cancelled;
        case upstream_end::Broken:
        case upstream_end::TimedOut:
            return schema::call_outcome::Failed;
        }
        return schema::call_outcome::Unknown;
    }

    side_server &m_server;
    std::shared_ptr<wire_peer> m_peer;
    std::string m_attempt;
};

side_server::side_server(io_thread &thread, side_options options)
    : m_thread(thread), m_options(std::move(options))
{
    m_thread.spawn([this] { reportLoop(); });
}

void side_server::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_peers[peer->connectionId()] = peer;
    }
    peer->send(frameBody(report()));
}

void side_server::onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame)
{
    if (const auto *start = frame.body.Asstart_call())
        startCall(peer, *start);
    else if (const auto *cancel = frame.body.Ascancel_call())
        cancelCall(cancel->attempt);
}

void side_server::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    std::vector<std::shared_ptr<upstream_call>> orphans;
    {
        const std::lock_guard lock(m_mutex);
        m_peers.erase(peer->connectionId());
        for (const auto &[attempt, running] : m_running) {
            if (running.connection == peer->connectionId())
                orphans.push_back(running.call);
        }
    }
    for (const auto &call : orphans)
        call->abort();
}

void side_server::drain()
{
    {
        const std::lock_guard lock(m_mutex);
        m_draining = true;
    }
    const auto message = frameBody(report());
    const std::lock_guard lock(m_mutex);
    for (const auto &[connection, peer] : m_peers)
        peer->send(message);
}

std::size_t side_server::activeCalls()
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

void side_server::startCall(const std::shared_ptr<wire_peer> &peer,
                            const schema::start_call_message &start)
{
    upstream_request request;
    request.method = start.method;
    request.target = start.target;
    request.contentType = start.content_type;
    request.body.assign(start.body.begin(), start.body.end());
    request.requestId = start.request_id;
    request.timeout = std::chrono::milliseconds(start.deadline_ms);
    auto events = std::make_shared<running_events>(*this, peer, start.attempt);
    auto call = std::make_shared<upstream_call>(m_thread, m_options.upstreamAddress,
                                                std::move(request), std::move(events));
    {
        const std::lock_guard lock(m_mutex);
        m_running[start.attempt] = running_call{call, peer->connectionId()};
    }
    call->start();
}

void side_server::cancelCall(const std::string &attempt)
{
    std::shared_ptr<upstream_call> call;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_running.find(attempt);
        if (found != m_running.end())
            call = found->second.call;
    }
    if (call)
        call->abort();
}

void side_server::finishCall(const std::string &attempt)
{
    const std::lock_guard lock(m_mutex);
    m_running.erase(attempt);
}

schema::load_report_message side_server::report()
{
    const std::lock_guard lock(m_mutex);
    schema::load_report_message message;
    message.group = m_options.group.value();
    message.kind = m_options.kind;
    message.state = m_draining ? schema::upstream_state::Leaving : schema::upstream_state::Serving;
    message.online_active = static_cast<std::uint32_t>(m_running.size());
    return message;
}

void side_server::reportLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(m_options.reportPeriod);
        const auto message = frameBody(report());
        const std::lock_guard lock(m_mutex);
        for (const auto &[connection, peer] : m_peers)
            peer->send(message);
    }
}

} // namespace tamarack
