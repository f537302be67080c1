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
    record.settled = claim.settled;
    record.chained = chained;
    return record;
}

home_record home_record::fromPeer(const schema::known_home_message &known)
{
    home_record record;
    record.generation = epoch(known.epoch);
    record.home = {vm_id(known.vm), incarnation(known.incarnation)};
    record.successor = {vm_id(known.successor), incarnation(known.successor_incarnation)};
    record.handedOver = known.handed_over;
    record.settled = known.settled;
    record.chained = known.chained;
    return record;
}

schema::known_home_message home_record::toPeer(partition_id partition) const
{
    schema::known_home_message known;
    known.partition = partition.value();
    known.epoch = generation.value();
    known.vm = home.vm.value();
    known.incarnation = home.generation.value();
    known.successor = successor.vm.value();
    known.successor_incarnation = successor.generation.value();
    known.handed_over = handedOver;
    known.settled = settled;
    known.chained = chained;
    return known;
}

} // namespace tamarack
