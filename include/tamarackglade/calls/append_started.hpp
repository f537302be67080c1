// Action: append to the customer's call stream; retried until its outcome is known.
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

struct append_started
{
    schema::call_started_message record;
};

} // namespace tamarack
