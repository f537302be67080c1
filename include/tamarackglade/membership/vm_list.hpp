// The platform's list of VMs, as JSON.
#pragma once

#include <tamarackglade/membership/listed_vm.hpp>

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace tamarack {

using vm_list = std::vector<listed_vm>;

/// @brief Parses the list: a JSON array of objects with vm, incarnation, role, group, zone, region,
/// address and state. Unknown members are ignored, so that the platform may add some.
/// @return the list, or InvalidArgument that names the entry and the member that is missing or
/// malformed, or the entry whose VM is listed twice
absl::StatusOr<vm_list> parseVmList(std::string_view json);

} // namespace tamarack
