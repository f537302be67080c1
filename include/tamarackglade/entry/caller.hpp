// Who sent a request.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief A customer and the key that it showed.
struct caller
{
    customer_id customer;
    key_id key;
};

} // namespace tamarack
