// A claim of the ownership of a partition.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/records.hpp>

namespace tamarack {

/// @brief A claim that this VM appends to the log. The fold accepts it only if epoch is the one
/// after the current epoch.
struct partition_claim
{
    partition_id partition;
    epoch_number epoch;
    vm_id vm;
    incarnation_number incarnation;
};

/// @return the batch to append; equal claims have equal record ids
schema::log_batch_message claimBatch(const partition_claim &claim);

} // namespace tamarack
