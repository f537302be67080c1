// An action of the rate limits: append to the stream "homes".
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

/// @brief Appends claim. It is in force only if reading it back from the log shows that it counts.
struct append_claim
{
    schema::home_claimed_message claim;
};

} // namespace tamarack
