// Log records of partition claims.
#include <tamarackglade/jobs/partition_claim.hpp>

namespace tamarack {

schema::log_batch_message claimBatch(const partition_claim &claim)
{
    schema::partition_claimed_message record;
    record.partition = claim.partition.value();
    record.epoch = claim.epoch.value();
    record.vm = claim.vm.value();
    record.incarnation = claim.incarnation.value();
    schema::log_batch_message batch;
    batch.record_id = "claim:" + claim.vm.value() + ":" + std::to_string(claim.incarnation.value())
                      + ":" + std::to_string(claim.epoch.value());
    addRecord(batch, std::move(record));
    return batch;
}

} // namespace tamarack
