// Action: send a cancel_call to the side of an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct send_cancel
{
    upstream_id upstream;
    attempt_id attempt;
};

} // namespace tamarack
