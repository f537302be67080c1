// An action of the call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief Sends a start_call frame to the side process of an upstream.
struct send_start
{
    upstream_id upstream;
    schema::start_call_message frame;
};

} // namespace tamarack
