// An action: an append to the stream "homes".
#pragma once

#include <tamarackglade/schema/log_generated.h>

namespace tamarack {

/// @brief Append claim. Only reading it back tells whether it counts.
struct append_claim
{
    schema::home_claimed_message claim;
};

} // namespace tamarack
