// Action: end the answer to the caller. Every request gets exactly one.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/calls/execution.hpp>
#include <tamarackglade/core/ids.hpp>

#include <optional>

namespace tamarack {

struct caller_end
{
    request_id request;
    execution ran = execution::Unknown;
    std::optional<call_error> error; // unset: the answer is whole
    bool headSent = false; // whether the caller has an caller_head already
};

} // namespace tamarack
