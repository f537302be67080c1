// What the upstream says of the orders that it carried out.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>
#include <vector>

namespace tamarack {

struct upstream_state_report
{
    fence_number highestFence; // 0 if the upstream keeps no fences
    std::vector<std::string> inForce; // ids of the latest order of each kind
};

} // namespace tamarack
