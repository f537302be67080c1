// Size and delays of a virtual fleet of configuration spreads.
#pragma once

#include <tamarackglade/config/config_spread_options.hpp>

#include <cstddef>
#include <cstdint>

namespace tamarack {

struct config_fleet_options
{
    std::size_t nodes = 10;
    std::uint64_t seed = 1;
    config_spread_options spread;
    duration linkDelay = std::chrono::milliseconds(1); // one way; drawn up to twice that
    duration logDelay = std::chrono::milliseconds(20); // of a read; drawn up to twice that
    std::size_t maxLogReadRecords = 64; // records of one read
    duration logReadInterval = std::chrono::seconds(1); // between reads of one node
    duration logRetention = std::chrono::hours(24 * 365);
};

} // namespace tamarack
