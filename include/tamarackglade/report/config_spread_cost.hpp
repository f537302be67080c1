// Result of measureConfigSpread.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/// @brief Cost of spreading the configuration in a fleet of one size.
struct config_spread_cost
{
    // Inputs of the measurement.
    std::size_t nodes = 0;
    std::size_t cutPercent = 0; // percentage of the nodes that cannot reach the log
    std::size_t customers = 0; // in the manifest
    // Results. Bytes between peers count both directions. Traffic is the mean per node.
    std::size_t manifestBytes = 0;
    double idleBytesPerSecond = 0; // gossip without changes
    duration keyPropagationTime{}; // maximum time until all nodes have a key withdrawal
    double keyMessages = 0; // sent per node until all nodes have a withdrawal, mean over changes
    double keyBytes = 0; // between peers until all nodes have a withdrawal, mean over changes
    duration manifestPropagationTime{}; // maximum time until all nodes have a new manifest
    double manifestPeerBytes = 0; // between peers until all nodes have a new manifest
    double manifestLogBytes = 0; // read from the log; mean over nodes that reach it
};

} // namespace tamarack
