// Reads and writes the config stream for commands.
#pragma once

#include <tamarackglade/config/config_fold.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <memory>

namespace tamarack {

/// @brief Folds the whole retained config stream.
/// @return the fold up to the stream's end, or Unavailable
absl::StatusOr<config_fold> readConfig(platform_client &platform);

/// @brief Appends one batch, retrying with the same record id while its fate is unknown.
/// @return its offset; Unavailable if it surely isn't stored, Unknown if it may be
absl::StatusOr<log_offset> appendConfig(platform_client &platform,
                                        const schema::log_batch_message &batch);

} // namespace tamarack
