// Asks the processes of the VM list for their status.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>
#include <tamarackglade/ctl/vm_status.hpp>

#include <absl/status/statusor.h>

#include <vector>

namespace tamarack {

/// @brief Reads the VM list and asks every entry and side on it, all at once.
/// @return one row a listed process in the list's order; FailedPrecondition without a fleet
/// secret, Unavailable if the list can't be read
absl::StatusOr<std::vector<vm_status>> requestFleetStatus(ctl_context &context);

} // namespace tamarack
