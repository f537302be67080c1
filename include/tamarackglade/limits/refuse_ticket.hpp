// An action: a request is refused by its customer's rate.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>

namespace tamarack {

/// @brief The request must not run.
struct refuse_ticket
{
    customer_id customer;
    std::uint64_t ticket = 0;
    duration retryAfter{}; ///< when a token is expected
};

} // namespace tamarack
