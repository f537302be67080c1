// Action: asks a peer for the configuration after an offset.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

struct send_config_fetch
{
    vm_id peer;
    schema::config_fetch_message message;
};

} // namespace tamarack
