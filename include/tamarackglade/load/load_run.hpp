// Runs the load tool in an open loop by a plan, or in a closed loop by a number of connections.
#pragma once

#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/load_statistics.hpp>

#include <vector>

namespace tamarack {

/// @brief Results of a load run.
struct load_result
{
    load_statistics statistics;
    double measuredSeconds = 0; // duration of arrivals without the warm-up
    duration maxStartDelay{}; // largest delay of a request in the tool itself
};

/// @brief Sends each request at its planned arrival, independently of the other requests. Stops at
/// the latest when the profile's seconds and drain have passed; open requests are then Unfinished.
load_result runOpenLoop(const load_profile &profile, const std::vector<planned_request> &plan,
                        unsigned threads);

/// @brief Keeps a number of requests active for the profile's seconds. Latencies are measured from
/// the sending of each request.
load_result runClosedLoop(const load_profile &profile, unsigned connections, unsigned threads);

} // namespace tamarack
