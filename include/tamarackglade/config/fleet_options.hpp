// Section [fleet] of the manifest.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

struct fleet_options
{
    std::string name;
    std::uint32_t partitions = 0; // at least 1
    duration logRetention{}; // what the log service keeps
    duration loadInterval{}; // between ordered loads over the fleet, at the steady rate
    std::uint32_t loadBurst = 1; // ordered loads at once, at least 1
};

} // namespace tamarack
