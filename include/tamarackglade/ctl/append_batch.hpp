// Appends for commands.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @brief Appends one batch to a stream, retrying with the same record id while its fate is
/// unknown.
/// @return the offset of the last try; Unavailable if it surely isn't stored, Unknown if it may be
absl::StatusOr<log_offset> appendBatch(platform_client &platform, const std::string &stream,
                                       const schema::log_batch_message &batch);

} // namespace tamarack
