// Commands of tamarackctl on the configuration: check, publish, key, drain.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

namespace tamarack {

/// @brief check FILE: prints every fault of a manifest.
int runCheck(ctl_context &context);
/// @brief publish FILE: appends a manifest and prints whether it was accepted.
int runPublish(ctl_context &context);
/// @brief key issue CUSTOMER | key withdraw ID | key list.
int runKey(ctl_context &context);
/// @brief drain VM: records in the config stream that a VM is draining.
int runDrain(ctl_context &context);

} // namespace tamarack
