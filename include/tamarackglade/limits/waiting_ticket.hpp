// A request that waits for a token.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief A request in a customer's queue.
struct waiting_ticket
{
    std::uint64_t ticket = 0;
    time_point deadline; // refused from this time on
};

} // namespace tamarack
