// An action of the keyed-call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

/// @brief Passes a request that holds its key to the call tracker.
struct run_keyed
{
    request_id request;
};

} // namespace tamarack
