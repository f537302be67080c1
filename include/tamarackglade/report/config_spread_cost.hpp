// One measured point of the configuration's cost against the fleet's size.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

struct config_spread_cost
{
    // What was measured.
    std::size_t nodes = 0;
    std::size_t cutPercent = 0; // of the nodes, cut off from the log
    std::size_t customers = 0; // of the manifest
    // Results; traffic counts both directions, per node, mean over nodes.
    std::size_t manifestBytes = 0;
    double idleBytesPerSecond = 0; // gossip without changes
    duration keyPropagationTime{}; // longest time until all nodes knew of a withdrawn key
    double keyMessages = 0; // sent by a node in that time
    double keyBytes = 0; // between peers, in that time
    duration manifestPropagationTime{}; // the same for a new manifest
    double manifestPeerBytes = 0;
    double manifestLogBytes = 0; // read from the log, nodes with access only
};

} // namespace tamarack
