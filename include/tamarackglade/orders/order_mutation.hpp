// Faults that tests seed into the order dispatcher.
#pragma once

namespace tamarack {

enum class order_mutation {
    None,
    IgnoreFence // orders with an old fencing number are given
};

} // namespace tamarack
