// Command of tamarackctl that orders a change at an upstream.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief order VM KIND ARGUMENT [--wait]: appends an order to the log; with --wait, waits until it
/// is done, refused or superseded.
int runOrder(ctl_context &context);

} // namespace tamarack
