// An established connection to another process of the system.
#pragma once

#include <tamarackglade/wire/peer_identity.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/// @brief Sends frames; all members are thread-safe.
class wire_peer
{
public:
    wire_peer() = default;
    wire_peer(const wire_peer &) = delete;
    wire_peer &operator=(const wire_peer &) = delete;
    virtual ~wire_peer() = default;

    /// @return who is at the other end
    [[nodiscard]] virtual const peer_identity &identity() const = 0;
    /// @return a number unique among this process's connections
    [[nodiscard]] virtual std::uint64_t connectionId() const = 0;
    /// @brief Queues a frame. Lost if the connection ends first; frames arrive in order.
    virtual void send(const schema::frame_bodyUnion &body) = 0;
    /// @return the bytes of the frames that are queued
    [[nodiscard]] virtual std::size_t queuedBytes() = 0;
    /// @brief Ends the connection.
    virtual void close() = 0;
};

} // namespace tamarack
