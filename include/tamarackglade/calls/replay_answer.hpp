// Action: the request was answered before; send that answer again.
#pragma once

#include <tamarackglade/calls/keyed_call_state.hpp>
#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct replay_answer
{
    request_id request;
    keyed_call_state answered;
};

} // namespace tamarack
