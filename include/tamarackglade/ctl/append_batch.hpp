// Appends a batch of records to a log stream, with retries.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @brief Appends one batch to a stream. Retries with the same record id while it is unknown
/// whether the batch was stored.
/// @return the offset of the successful attempt; the error of the append if the batch is certainly
/// not stored, Unknown if it may be stored
absl::StatusOr<log_offset> appendBatch(platform_client &platform, const std::string &stream,
                                       const schema::log_batch_message &batch);

} // namespace tamarack
