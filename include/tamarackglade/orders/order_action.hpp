// What the order dispatcher asks its shell to do next.
#pragma once

#include <tamarackglade/orders/ask_upstream.hpp>
#include <tamarackglade/orders/give_order.hpp>
#include <tamarackglade/orders/reread_orders.hpp>

#include <variant>

namespace tamarack {

using order_action = std::variant<ask_upstream, reread_orders, give_order>;

} // namespace tamarack
