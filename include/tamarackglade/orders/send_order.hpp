// Action: sends the order to the upstream, and reports the answer to the order dispatcher.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/orders/upstream_order.hpp>

namespace tamarack {

struct send_order
{
    upstream_order order;
    time_point validUntil; // must not be sent later, as after a pause of the process
};

} // namespace tamarack
