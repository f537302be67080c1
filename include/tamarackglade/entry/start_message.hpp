// The message by which an entry asks a side to run a call.
#pragma once

#include <tamarackglade/entry/call_request.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @return the message for a call, without attempt and deadline
schema::start_call_message startMessage(const call_request &call);

} // namespace tamarack
