// The home of a limit partition, as folded from the log.
#include <tamarackglade/limits/home_record.hpp>

namespace tamarack {

home_record home_record::fromClaim(const schema::home_claimed_message &claim, bool chained)
{
    home_record record;
    record.generation = epoch(claim.epoch);
    record.home = {vm_id(claim.vm), incarnation(claim.incarnation)};
    record.successor = {vm_id(claim.successor), incarnation(claim.successor_incarnation)};
    record.handedOver = claim.handed_over;
    record.chained = chained;
    return record;
}

} // namespace tamarack
