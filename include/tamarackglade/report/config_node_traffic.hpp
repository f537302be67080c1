// What one process sent and received for the configuration.
#pragma once

#include <cstdint>

namespace tamarack {

struct config_node_traffic
{
    std::uint64_t messages = 0; // sent to peers
    std::uint64_t bytes = 0; // to and from peers, as frames with their length
    std::uint64_t logBytes = 0; // payloads read from the log
};

} // namespace tamarack
