// How an order stands at its side.
#pragma once

namespace tamarack {

enum class order_state {
    Waiting,
    InProgress, // handed to the upstream, without an answer yet
    Done, // in force at the upstream
    Refused, // by the upstream, or because it has seen a newer one
    Superseded // by a newer order of its kind, before it was given
};

/// @return the state's name in status answers
const char *orderStateName(order_state state);

} // namespace tamarack
