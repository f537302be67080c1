// An action of the rate limits: refuse a request.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Refuses a request because of its customer's rate; it must not run.
struct refuse_ticket
{
    customer_id customer;
    std::uint64_t ticket = 0;
    duration retryAfter{}; ///< how long until a token is expected
};

} // namespace tamarack
