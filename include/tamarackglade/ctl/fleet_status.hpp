// Requests the status of every process on the VM list.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>
#include <tamarackglade/ctl/vm_status.hpp>

#include <absl/status/statusor.h>

#include <vector>

namespace tamarack {

/// @brief Reads the VM list and requests the status of every entry and side on it, concurrently.
/// @return one row for each of these processes in the order of the list; FailedPrecondition without
/// a fleet secret, else the error of reading or parsing the list
absl::StatusOr<std::vector<vm_status>> requestFleetStatus(ctl_context &context);

} // namespace tamarack
