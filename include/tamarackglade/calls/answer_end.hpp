// Action: end the answer to the caller. Every request gets exactly one.
#pragma once

#include <tamarackglade/calls/api_error.hpp>
#include <tamarackglade/calls/executed.hpp>
#include <tamarackglade/core/ids.hpp>

#include <optional>

namespace tamarack {

struct answer_end
{
    request_id request;
    executed ran = executed::Unknown;
    std::optional<api_error> error; // unset: the answer is whole
    bool headSent = false; // whether the caller has an answer_head already
};

} // namespace tamarack
