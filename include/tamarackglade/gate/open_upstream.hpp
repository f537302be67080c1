// Action: sends a call to the upstream.
#pragma once

#include <tamarackglade/gate/upstream_run.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <cstdint>

namespace tamarack {

struct open_upstream
{
    upstream_run run;
    schema::start_call_message call;
    // Number of leading data frames to skip, since the caller already has them.
    std::uint64_t resumeFrom = 0;
};

} // namespace tamarack
