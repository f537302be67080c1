// An order with its state.
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
    time_point notBefore{}; // when it became known; of a load also its turn at the weight store
    std::string message; // why it waits or was refused
};

} // namespace tamarack
