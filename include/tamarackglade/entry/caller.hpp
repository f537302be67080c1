// The authenticated sender of a request.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief A customer and the API key that the request carried.
struct caller
{
    customer_id customer;
    key_id key;
};

} // namespace tamarack
