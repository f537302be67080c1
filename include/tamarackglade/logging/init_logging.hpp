// Sets glog up to write JSON lines to the standard output stream.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Installs the JSON sink, which never blocks on the output; call once, before the first log
/// line.
/// @param program the program's name, written in each line
/// @param level debug, info, warning or error
/// @return InvalidArgument for an unknown level
absl::Status initLogging(const std::string &program, const std::string &level);

/// @brief Changes the least level that is written. @return InvalidArgument for an unknown level
absl::Status setLogLevel(const std::string &level);

/// @return lines that were dropped since the start of the process, as the output didn't take them
std::uint64_t droppedLogLines();

} // namespace tamarack
