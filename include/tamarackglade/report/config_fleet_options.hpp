// Options of virtual_config_fleet.
#pragma once

#include <tamarackglade/config/config_spread_options.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

/// @brief Size and delays of a virtual fleet that spreads the configuration.
struct config_fleet_options
{
    std::size_t nodes = 10;
    std::uint64_t seed = 1;
    config_spread_options spread;
    duration linkDelay =
        std::chrono::milliseconds(1); // mean, one way; random from 0 to twice the mean
    duration logDelay =
        std::chrono::milliseconds(20); // mean of a read; random from 0 to twice the mean
    std::size_t maxLogReadRecords = 64; // largest number of records in one read
    duration logReadInterval = std::chrono::seconds(1); // between log reads of one node
    duration logRetention = std::chrono::hours(24 * 365);
};

} // namespace tamarack
