// Action: send a start_call to the side of an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

struct send_start
{
    upstream_id upstream;
    schema::start_call_message frame;
};

} // namespace tamarack
