// Commands that write to the config stream: check, publish, key, drain.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief check FILE: lists every fault of a manifest.
int runCheck(ctl_context &context);
/// @brief publish FILE: appends a manifest and says whether it was accepted.
int runPublish(ctl_context &context);
/// @brief key issue CUSTOMER | key withdraw ID | key list.
int runKey(ctl_context &context);
/// @brief drain VM: tells the fleet that a VM is leaving.
int runDrain(ctl_context &context);

} // namespace tamarack
