// Traffic of one node of virtual_config_fleet.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief What one process sent and received to spread the configuration.
struct config_node_traffic
{
    std::uint64_t messages = 0; // sent to peers
    std::uint64_t bytes = 0; // to and from peers; frames with their length prefix
    std::uint64_t logBytes = 0; // bytes of payloads read from the log
};

} // namespace tamarack
