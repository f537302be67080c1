// An action of the keyed-call tracker.
#pragma once

#include <tamarackglade/calls/keyed_call_state.hpp>
#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief Answers a request with the stored answer of an earlier request with the same key.
struct replay_answer
{
    request_id request;
    keyed_call_state answered;
};

} // namespace tamarack
