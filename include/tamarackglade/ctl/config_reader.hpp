// Reads the config stream for commands and appends to it.
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

/// @brief Appends one batch to the config stream, with the retries of appendBatch().
/// @return the offset of the batch; the error of the append if it is certainly not stored, Unknown
/// if it may be stored
absl::StatusOr<log_offset> appendConfig(platform_client &platform,
                                        const schema::log_batch_message &batch);

} // namespace tamarack
