// Action: send a refuse_attempt to the side of an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct send_refuse
{
    upstream_id upstream;
    attempt_id attempt;
};

} // namespace tamarack
