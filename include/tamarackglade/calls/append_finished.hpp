// An action of the keyed-call tracker.
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

/// @brief Appends record to the customer's call stream. The append is retried until the log
/// contains the record.
struct append_finished
{
    schema::call_finished_message record;
};

} // namespace tamarack
