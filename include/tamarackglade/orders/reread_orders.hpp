// Action: read the stream of orders to its end, without waiting.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct reread_orders
{
    log_offset from;
};

} // namespace tamarack
