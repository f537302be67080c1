// Reads one stream of the log to its end.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>

#include <functional>
#include <string>

namespace tamarack {

/// @brief Hands every retained entry from an offset on to visit, in order. Records that expire
/// meanwhile are skipped.
/// @return the first offset that the log retained, or Unavailable
absl::StatusOr<log_offset> readStream(platform_client &platform, const std::string &stream,
                                      log_offset from,
                                      const std::function<void(const log_entry &)> &visit);

} // namespace tamarack
