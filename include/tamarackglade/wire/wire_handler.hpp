// Receives what happens on wire connections.
#pragma once

#include <tamarackglade/wire/wire_peer.hpp>

#include <memory>

namespace tamarack {

/// @brief Called in fibers of the connection's thread; must be thread-safe if connections are on
/// several threads. Frames of one connection come in order.
class wire_handler
{
public:
    wire_handler() = default;
    wire_handler(const wire_handler &) = delete;
    wire_handler &operator=(const wire_handler &) = delete;
    virtual ~wire_handler() = default;

    virtual void onConnected(const std::shared_ptr<wire_peer> &peer) = 0;
    virtual void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame) = 0;
    /// Nothing more comes from this connection.
    virtual void onClosed(const std::shared_ptr<wire_peer> &peer) = 0;
};

} // namespace tamarack
