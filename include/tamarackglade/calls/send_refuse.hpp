// An action of the call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief Sends a refuse_attempt frame to the side process of an upstream.
struct send_refuse
{
    upstream_id upstream;
    attempt_id attempt;
};

} // namespace tamarack
