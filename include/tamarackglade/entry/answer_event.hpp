// The parts in which an upstream's answer reaches the request that waits for it.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <string>
#include <variant>

namespace tamarack {

/// @brief The answer's status line.
struct answer_head
{
    unsigned status = 0;
    std::string contentType;
};

/// @brief Some bytes of the body.
struct answer_data
{
    std::string bytes;
};

/// @brief The end of the answer; nothing follows.
struct answer_end
{
    schema::call_outcome outcome = schema::call_outcome::Unknown;
    std::string code;
    std::string message;
    std::uint32_t retryAfterMs = 0;
};

using answer_event = std::variant<answer_head, answer_data, answer_end>;

} // namespace tamarack
