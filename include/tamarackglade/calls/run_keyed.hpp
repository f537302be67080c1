// Action: the request holds its key; hand it to the call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct run_keyed
{
    request_id request;
};

} // namespace tamarack
