// The state of an order at its side.
#pragma once

namespace tamarack {

enum class order_state {
    Waiting,
    InProgress, // sent to the upstream, without an answer yet
    Done, // in force at the upstream
    Refused, // by the upstream, or by the side because the upstream has received a newer one
    Superseded // by a newer order of its kind, before it was known to be executed
};

/// @return the name of the state in status responses
const char *orderStateName(order_state state);

} // namespace tamarack
