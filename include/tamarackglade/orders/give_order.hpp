// Action: give the order to the upstream, and report its end to the order desk.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

struct give_order
{
    schema::upstream_order_message order;
};

} // namespace tamarack
