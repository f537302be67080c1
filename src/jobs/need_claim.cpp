// Claims as log records.
#include <tamarackglade/jobs/need_claim.hpp>

namespace tamarack {

schema::log_batch_message claimBatch(const need_claim &claim)
{
    schema::partition_claimed_message record;
    record.partition = claim.partition.value();
    record.epoch = claim.next.value();
    record.vm = claim.vm.value();
    record.incarnation = claim.incarnation.value();
    schema::log_batch_message batch;
    batch.record_id = "claim:" + claim.vm.value() + ":" + std::to_string(claim.incarnation.value())
                      + ":" + std::to_string(claim.next.value());
    addRecord(batch, std::move(record));
    return batch;
}

} // namespace tamarack
