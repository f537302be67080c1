// Tells operators' connections from those of VMs.
#include <tamarackglade/wire/frame_codec.hpp>
#include <tamarackglade/wire/status_handler.hpp>

#include <utility>

namespace tamarack {

namespace {

bool isOperator(const wire_peer &peer)
{
    return peer.identity().role == schema::vm_role::Control;
}

} // namespace

status_handler::status_handler(wire_handler &next, status_source status)
    : m_next(next), m_status(std::move(status))
{
}

void status_handler::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    if (!isOperator(*peer))
        m_next.onConnected(peer);
}

void status_handler::onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame)
{
    if (!isOperator(*peer)) {
        m_next.onFrame(peer, std::move(frame));
        return;
    }
    const auto *request = frame.body.Asstatus_request();
    if (request == nullptr) {
        peer->close();
        return;
    }
    schema::status_answer_message answer;
    answer.sequence = request->sequence;
    answer.json = m_status();
    peer->send(frameBody(answer));
}

void status_handler::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    if (!isOperator(*peer))
        m_next.onClosed(peer);
}

} // namespace tamarack
