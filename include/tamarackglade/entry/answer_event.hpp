// Events by which an upstream's answer reaches the request that waits for it.
#pragma once

#include <tamarackglade/calls/call_error.hpp>

#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/// @brief The answer's status code and content type.
struct answer_head
{
    unsigned status = 0;
    std::string contentType;
};

/// @brief A part of the answer's body.
struct answer_data
{
    std::string bytes;
};

/// @brief The end of the answer; nothing follows.
struct answer_end
{
    std::optional<call_error> error; // unset if the answer is complete
};

using answer_event = std::variant<answer_head, answer_data, answer_end>;

} // namespace tamarack
