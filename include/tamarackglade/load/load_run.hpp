// Runs of the load tool: open loop by plan, closed loop by connections.
#pragma once

#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/load_statistics.hpp>

#include <vector>

namespace tamarack {

/// @brief What a run measured.
struct load_result
{
    load_statistics statistics;
    double measuredSeconds = 0; // of arrivals, without the warm-up
    duration maxStartDelay{}; // how late the tool itself sent a request at worst
};

/// @brief Sends each request at its planned arrival, whatever became of the others. Ends after the
/// profile's seconds and drain at the latest.
load_result runOpenLoop(const load_profile &profile, const std::vector<planned_request> &plan,
                        unsigned threads);

/// @brief Keeps a number of requests under way for the profile's seconds; latencies count from
/// each sending.
load_result runClosedLoop(const load_profile &profile, unsigned connections, unsigned threads);

} // namespace tamarack
