// Action: give the order to the upstream, and report its answer to the order dispatcher.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/orders/upstream_order.hpp>

namespace tamarack {

struct send_order
{
    upstream_order order;
    time_point validUntil; // not sent later: the process may have been paused meanwhile
};

} // namespace tamarack
