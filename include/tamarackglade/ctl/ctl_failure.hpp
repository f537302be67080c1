// Prints failures of commands and maps them to exit codes.
#pragma once

#include <tamarackglade/ctl/ctl_context.hpp>

#include <absl/status/status.h>

#include <string>

namespace tamarack {

/// @brief Prints the usage line to the error stream.
/// @return ExitUsage
int printUsageError(ctl_context &context, const std::string &usage);

/// @brief Prints the message of a failure to the error stream.
/// @return ExitUnknown for an Unknown status, where the command may have taken effect; else
/// ExitFailed
int printFailure(ctl_context &context, const absl::Status &status);

} // namespace tamarack
