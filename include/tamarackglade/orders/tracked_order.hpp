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
    // When the order was read, or the later time that a load has reserved at the weight store.
    time_point notBefore{};
    std::string message; // reason why it waits or was refused
};

} // namespace tamarack
