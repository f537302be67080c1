// What a process needs for wire connections: itself, the fleet secret, and time limits.
#pragma once

#include <tamarackglade/wire/peer_identity.hpp>

#include <chrono>
#include <string>

namespace tamarack {

/// @brief Settings of all wire connections of a process.
struct wire_settings
{
    peer_identity self;
    std::string fleetSecret; // shared by all processes of the fleet, never sent
    std::chrono::milliseconds helloTimeout{2'000};
    std::chrono::milliseconds keepalivePeriod{500};
    std::chrono::milliseconds silenceLimit{3'000}; // a connection silent for longer is closed
    std::size_t sendQueueLimit = 32 * 1024 * 1024; // bytes; exceeding it closes the connection
};

} // namespace tamarack
