// Encodes a partition's state as snapshots and splits them into log records.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @return the encoded state; equal states give equal bytes
std::string encodeState(const schema::partition_state_message &state);

/// @return the decoded state, or InvalidArgument if the bytes are not a valid state
absl::StatusOr<schema::partition_state_message> decodeState(std::string_view bytes);

/// @brief Splits a state into batches of one snapshot_part each.
/// @param asOf the offset of the last batch that the state includes
/// @param writer the epoch of the writer, which makes snapshot ids of different writers distinct
/// @param partBytes the maximum payload of one part in bytes
std::vector<schema::log_batch_message> snapshotBatches(const schema::partition_state_message &state,
                                                       log_offset asOf, epoch_number writer,
                                                       std::size_t partBytes);

} // namespace tamarack
