// Settings and faults of the engine stand-in.
#pragma once

#include <tamarackglade/load/engine_profile.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tamarack::standins {

/// @brief What the program's flags set.
struct engine_options
{
    engine_profile profile;
    bool immediate = false; // answer without the model's iteration times
    std::vector<std::string> models; // empty: any model is served
    bool checkFences = true; // refuse orders with an old fencing number
    std::chrono::milliseconds reportLag{0}; // of GET /load
    std::chrono::milliseconds cacheEventLag{0}; // of GET /cache-events
    std::uint64_t cacheEventGap = 0; // every n-th cache event is lost; 0 for none
    std::chrono::milliseconds orderTime{0}; // to carry an order out
    std::string weightStore; // ip:port that ordered loads read from; empty for none
};

/// @brief What POST /fault sets, besides freezes and slowness.
struct engine_faults
{
    std::uint64_t failNext = 0; // requests that answer 500
    double failShare = 0; // share of requests that answer 500, 0 to 1
    std::uint32_t cutStreamAfter = 0; // tokens
    std::uint64_t cutStreams = 0; // streams that are cut after cutStreamAfter tokens
    std::uint64_t crossAnswers = 0; // answers that are those of another prompt
    std::string crashOn; // the process exits on a prompt with this text; empty for none
};

} // namespace tamarack::standins
