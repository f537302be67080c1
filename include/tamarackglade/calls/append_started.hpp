// An action of the keyed-call tracker.
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

/// @brief Appends record to the customer's call stream. The append is retried until its outcome is
/// known.
struct append_started
{
    schema::call_started_message record;
};

} // namespace tamarack
