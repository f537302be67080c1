// Runs batch jobs through the files and batches API.
#pragma once

#include <tamarackglade/load/batch_result.hpp>
#include <tamarackglade/load/load_profile.hpp>

#include <vector>

namespace tamarack {

/// @brief Uploads, creates and awaits every batch of a profile, at its start time, for at most the
/// profile's seconds and drain; then reads the results back and checks each item.
/// Blocks the calling thread.
std::vector<batch_result> runBatches(const load_profile &profile);

/// @brief Counts the results in a job's output and error files, which are JSON Lines.
/// @param result its items are set; the other counts are added
void countBatchResults(const load_batch &batch, const std::string &output,
                       const std::string &errors, batch_result &result);

/// @return the input file of a batch
std::string batchInput(const load_batch &batch);

} // namespace tamarack
