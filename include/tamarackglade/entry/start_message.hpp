// Message with which an entry starts a call on a side.
#pragma once

#include <tamarackglade/entry/call_request.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @return the message of a call; the caller sets attempt and deadline
schema::start_call_message startMessage(const call_request &call);

} // namespace tamarack
