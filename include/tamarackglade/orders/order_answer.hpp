// The result of sending an order to the upstream.
#pragma once

#include <string>

namespace tamarack {

enum class order_outcome {
    Done,
    Refused, // by the upstream, permanently
    Busy, // the upstream can't execute it now
    NotSent, // the upstream certainly did not receive it
    Unknown // the upstream may have received it
};

struct order_answer
{
    order_outcome outcome = order_outcome::Unknown;
    std::string message;
};

} // namespace tamarack
