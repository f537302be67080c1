// Reads a log stream from an offset to its end.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>

#include <functional>
#include <string>

namespace tamarack {

/// @brief Calls visit for every retained record from an offset on, in order. Skips records that
/// expire during the read.
/// @return the first offset that the log retained, or Unavailable
absl::StatusOr<log_offset> readStream(platform_client &platform, const std::string &stream,
                                      log_offset from,
                                      const std::function<void(const log_entry &)> &visit);

} // namespace tamarack
