// Action: reads the order stream to its end, without waiting for new entries.
#pragma once

#include <tamarackglade/core/ids.hpp>

namespace tamarack {

struct reread_orders
{
    log_offset from;
};

} // namespace tamarack
