// The orders that the upstream reports as executed.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>
#include <vector>

namespace tamarack {

struct upstream_state_report
{
    fence_number highestFence; // 0 if the upstream does not store fencing numbers
    std::vector<std::string> inForce; // ids of the latest order of each kind
};

} // namespace tamarack
