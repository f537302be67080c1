// What became of an order that was handed to the shell.
#pragma once

#include <string>

namespace tamarack {

enum class order_outcome {
    Done,
    Refused, // by the upstream, for good
    Busy, // the upstream can't carry it out now
    NotSent, // the upstream surely never saw it
    Unknown // the upstream may have seen it
};

struct order_answer
{
    order_outcome outcome = order_outcome::Unknown;
    std::string message;
};

} // namespace tamarack
