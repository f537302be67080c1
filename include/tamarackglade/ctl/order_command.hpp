// Command on upstreams: order.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief order VM KIND ARGUMENT [--wait]: appends an order, and may wait for what comes of it.
int runOrder(ctl_context &context);

} // namespace tamarack
