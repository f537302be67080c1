// A request that waits in an admission queue.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

struct admission_request
{
    std::string id; // unique in the queue
    customer_id customer;
    std::uint32_t weight = 1;
    time_point deadline{}; // latest start of service
};

} // namespace tamarack
