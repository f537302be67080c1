// The home of a limit partition, as folded from the log.
#include <tamarackglade/limits/home_record.hpp>

namespace tamarack {

namespace {

// Claims and known homes have the same fields except for chained.
template <class Message>
home_record recordOf(const Message &message, bool chained)
{
    home_record record;
    record.epoch = epoch_number(message.epoch);
    record.home = {vm_id(message.vm), incarnation_number(message.incarnation)};
    record.successor = {vm_id(message.successor),
                        incarnation_number(message.successor_incarnation)};
    record.handedOver = message.handed_over;
    record.settled = message.settled;
    record.chained = chained;
    return record;
}

} // namespace

home_record home_record::fromClaim(const schema::home_claimed_message &claim, bool chained)
{
    return recordOf(claim, chained);
}

home_record home_record::fromPeer(const schema::known_home_message &known)
{
    return recordOf(known, known.chained);
}

schema::known_home_message home_record::toPeer(partition_id partition) const
{
    schema::known_home_message known;
    known.partition = partition.value();
    known.epoch = epoch.value();
    known.vm = home.vm.value();
    known.incarnation = home.incarnation.value();
    known.successor = successor.vm.value();
    known.successor_incarnation = successor.incarnation.value();
    known.handed_over = handedOver;
    known.settled = settled;
    known.chained = chained;
    return known;
}

} // namespace tamarack
