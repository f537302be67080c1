// The wish to own a partition.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/records.hpp>

namespace tamarack {

/// @brief Says that this VM should append a claim. The fold decides whether it counts.
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
