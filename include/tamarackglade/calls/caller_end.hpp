// An action of the call tracker.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/calls/execution.hpp>
#include <tamarackglade/core/ids.hpp>

#include <optional>

namespace tamarack {

/// @brief Ends the answer to the caller. Every request gets exactly one.
struct caller_end
{
    request_id request;
    execution ran = execution::Unknown;
    std::optional<call_error> error; // none if the answer is complete
    bool headSent = false; // whether a caller_head was sent before
};

} // namespace tamarack
