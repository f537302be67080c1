// Action: append to the customer's call stream; retried until it is in the log.
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

struct append_finished
{
    schema::call_finished_message record;
};

} // namespace tamarack
