// Wire settings from a process's settings.
#pragma once

#include <tamarackglade/settings/setting_values.hpp>
#include <tamarackglade/wire/wire_settings.hpp>

#include <absl/status/statusor.h>

namespace tamarack {

/// @brief Reads the fleet secret's file and takes a new incarnation from the wall clock.
/// @return the settings, or InvalidArgument if the file can't be read or holds under 16 bytes
absl::StatusOr<wire_settings> loadWireSettings(const setting_values &values, schema::vm_role role);

} // namespace tamarack
