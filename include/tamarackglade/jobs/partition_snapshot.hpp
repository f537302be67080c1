// Snapshots of a partition's state, cut into records that fit the log.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @return the state's bytes; equal states give equal bytes
std::string encodeState(const schema::partition_state_message &state);

/// @return the state, or InvalidArgument if the bytes aren't one
absl::StatusOr<schema::partition_state_message> decodeState(std::string_view bytes);

/// @brief Cuts a state into batches of one snapshot_part each.
/// @param asOf the offset after which the state held
/// @param writer the writer's epoch, which keeps the ids of two writers apart
/// @param partBytes the payload limit of one part
std::vector<schema::log_batch_message> snapshotBatches(const schema::partition_state_message &state,
                                                       log_offset asOf, epoch_number writer,
                                                       std::size_t partBytes);

} // namespace tamarack
