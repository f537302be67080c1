// Reads one appended batch of a stream.
#pragma once

#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @return the batch at an offset; NotFound if it is no longer retained or is not a valid batch;
/// another error if the log can't be read
absl::StatusOr<schema::log_batch_message> readBatch(platform_client &platform,
                                                    const std::string &stream, log_offset offset);

} // namespace tamarack
