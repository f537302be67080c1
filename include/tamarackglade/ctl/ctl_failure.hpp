// How commands report what went wrong.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

#include <absl/status/status.h>

#include <string>

namespace tamarack {

/// @brief Prints the usage line. @return ExitUsage
int printUsageError(ctl_context &context, const std::string &usage);

/// @brief Prints a failure. @return ExitFailed, or ExitUnknown if it may have taken effect
int printFailure(ctl_context &context, const absl::Status &status);

} // namespace tamarack
