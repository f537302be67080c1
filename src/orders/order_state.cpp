// Names of the order states.
#include <tamarackglade/orders/order_state.hpp>

namespace tamarack {

const char *orderStateName(order_state state)
{
    switch (state) {
    case order_state::Waiting:
        return "waiting";
    case order_state::InProgress:
        return "under_way";
    case order_state::Done:
        return "done";
    case order_state::Refused:
        return "refused";
    case order_state::Superseded:
        return "superseded";
    }
    return "";
}

} // namespace tamarack
