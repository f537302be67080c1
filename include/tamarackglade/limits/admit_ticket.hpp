// An action of the rate limits: admit a request.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Admits a request: it has its token and may run.
struct admit_ticket
{
    customer_id customer;
    std::uint64_t ticket = 0;
};

} // namespace tamarack
