// Faults that tests inject into the order dispatcher.
#pragma once

namespace tamarack {

enum class order_mutation {
    None,
    IgnoreFence // orders with a stale fencing number are sent
};

} // namespace tamarack
