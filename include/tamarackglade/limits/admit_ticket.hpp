// An action: a waiting request has its token.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

/// @brief The request may run.
struct admit_ticket
{
    customer_id customer;
    std::uint64_t ticket = 0;
};

} // namespace tamarack
