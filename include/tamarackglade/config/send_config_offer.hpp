// Action: tells a peer which configuration is in force here.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

struct send_config_offer
{
    vm_id peer;
    schema::config_offer_message message;
};

} // namespace tamarack
