// Reads batch jobs from the log for commands.
#pragma once

#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/platform/platform_client.hpp>

#include <absl/status/statusor.h>

#include <vector>

namespace tamarack {

/// @brief Folds the retained part of one partition's stream.
/// @return the fold; Unavailable if the log can't be read, DataLoss if no snapshot covers the
/// records that the log has dropped
absl::StatusOr<partition_fold> readJobs(platform_client &platform, partition_id partition);

/// @brief Folds the streams of all partitions of the manifest in force.
/// @return the folds by partition; FailedPrecondition without a manifest
absl::StatusOr<std::vector<partition_fold>> readAllJobs(platform_client &platform);

} // namespace tamarack
