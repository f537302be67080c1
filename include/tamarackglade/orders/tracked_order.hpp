// An order to this upstream and its state.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/orders/order_state.hpp>
#include <tamarackglade/orders/upstream_order.hpp>

#include <string>

namespace tamarack {

struct tracked_order
{
    upstream_order order;
    order_state state = order_state::Waiting;
    time_point
        notBefore{}; // when it was read; for loads, also the reserved time at the weight store
    std::string message; // reason why it waits or was refused
};

} // namespace tamarack
