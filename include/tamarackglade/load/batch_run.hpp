// Runs the batch jobs of a load profile through the files and batches API.
#pragma once

#include <tamarackglade/load/batch_result.hpp>
#include <tamarackglade/load/load_profile.hpp>

#include <vector>

namespace tamarack {

/// @brief Uploads and creates each batch of a profile at its start time and waits until all have
/// ended, at most until the profile's seconds and drain have passed. Then reads the results and
/// checks each item. Blocks the calling thread.
/// @return one result for each batch, in the order of the profile
std::vector<batch_result> runBatches(const load_profile &profile);

/// @brief Counts the results in a job's output and error files, which are JSON Lines.
/// @param result the counts are added to it; its items are left unchanged
void countBatchResults(const load_batch &batch, const std::string &output,
                       const std::string &errors, batch_result &result);

/// @return the input file of a batch as JSON Lines
std::string batchInput(const load_batch &batch);

} // namespace tamarack
