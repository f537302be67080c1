// Periods and counts of the configuration's spread.
#pragma once

#include <tamarackglade/config/config_mutation.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

struct config_spread_options
{
    duration gossipPeriod = std::chrono::seconds(1);
    std::size_t gossipFanout = 2; // peers told each period
    std::size_t changeFanout = 3; // peers told at once of a change
    // A process that hears from the log waits this long before it fetches from a peer.
    duration fetchDelay = std::chrono::milliseconds(1500);
    duration fetchTimeout = std::chrono::seconds(1);
    duration logSilence = std::chrono::seconds(2); // after it the log counts as unreachable
    duration askPeriod = std::chrono::milliseconds(300); // while starting
    std::size_t askFanout = 4;
    std::size_t enoughAnswers = 3; // serving peers that must answer a starting process
    // If no peer serves: peers that must answer so, unless a majority is fewer.
    std::size_t enoughIdleAnswers = 8;
    duration answerLifetime = std::chrono::seconds(1); // from the question on
    duration startPatience = std::chrono::seconds(5); // after it fewer answers do
    // A process that did nothing for so long was paused, and asks again before it serves.
    duration pauseLimit = std::chrono::seconds(3);
    std::size_t historyBytes = 1 << 20; // of recent appends, kept for peers that lag
    config_mutation mutation = config_mutation::None; // for tests
};

} // namespace tamarack
