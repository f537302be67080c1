// Action: cancels a running call at the upstream.
#pragma once

#include <tamarackglade/gate/upstream_run.hpp>

namespace tamarack {

struct abort_upstream
{
    upstream_run run;
};

} // namespace tamarack
