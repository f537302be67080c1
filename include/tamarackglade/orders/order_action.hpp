// The actions that the order dispatcher returns; the side process performs them.
#pragma once

#include <tamarackglade/orders/query_upstream_state.hpp>
#include <tamarackglade/orders/reread_orders.hpp>
#include <tamarackglade/orders/send_order.hpp>

#include <variant>

namespace tamarack {

using order_action = std::variant<query_upstream_state, reread_orders, send_order>;

} // namespace tamarack
