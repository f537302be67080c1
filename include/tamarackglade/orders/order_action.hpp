// What the order desk asks its shell to do, in order.
#pragma once

#include <tamarackglade/orders/answer_order.hpp>
#include <tamarackglade/orders/give_order.hpp>

#include <variant>
#include <vector>

namespace tamarack {

using order_action = std::variant<give_order, answer_order>;
using order_actions = std::vector<order_action>;

} // namespace tamarack
