// The folded configuration as one record, for peers and for re-append past the log's retention.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace tamarack {

/// @brief Encodes a state as the payload of one append.
/// @param takenAtSeconds wall time of the snapshot; only schedules the next one
std::string encodeSnapshot(const config_state &state, std::uint64_t takenAtSeconds);

/// @return the snapshot record in a batch; null if it has none
const schema::config_snapshot_record_message *findSnapshot(const schema::log_batch_message &batch);

/// @brief Rebuilds a state from its record.
/// @return InvalidArgument if the record is malformed or its manifest is faulty
absl::StatusOr<config_state> stateOf(const schema::config_snapshot_record_message &record);

} // namespace tamarack
