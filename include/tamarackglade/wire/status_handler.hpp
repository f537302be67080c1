// Answers operators' status requests before a process's own wire handler.
#pragma once

#include <tamarackglade/wire/wire_handler.hpp>

#include <functional>
#include <string>

namespace tamarack {

/// @brief Serves connections of tamarackctl and hands all others on. A connection with the role
/// Control may only ask for the status, so that an operator's tool is never taken for a VM.
class status_handler final : public wire_handler
{
public:
    /// Gives the status as JSON; called in fibers of the connections' thread.
    using status_source = std::function<std::string()>;

    /// next must outlive the handler.
    status_handler(wire_handler &next, status_source status);

    void onConnected(const std::shared_ptr<wire_peer> &peer) override;
    void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame) override;
    void onClosed(const std::shared_ptr<wire_peer> &peer) override;

private:
    wire_handler &m_next;
    status_source m_status;
};

} // namespace tamarack
