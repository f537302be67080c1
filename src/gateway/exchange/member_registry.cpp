// Periodically writes this gateway's membership record and reads all members.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/gateway/exchange/member_registry.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds MembershipInterval{2'000};

const stream_partition MemberStream{stream_name("keyed.members"), 0};

} // namespace

member_registry::member_registry(record_store &store, peer_table &peerTable,
                                 quarantine_exchange &quarantine, gateway_member self)
    : m_store(store), m_peerTable(peerTable), m_quarantine(quarantine), m_self(std::move(self))
{
}

void member_registry::start()
{
    boost::fibers::fiber([this] { renewLoop(); }).detach();
}

void member_registry::leave()
{
    m_leaving = true;
    writeRecord(true);
}

// Reads before it writes, as the record of this VM's process before may hold the only copy of a
// quarantine.
void member_registry::renewLoop()
{
    readMembers();
    for (;;) {
        if (!m_leaving)
            writeRecord(false);
        readMembers();
        m_peerTable.tick(bootNow());
        boost::this_fiber::sleep_for(MembershipInterval);
    }
}

void member_registry::writeRecord(bool leaving)
{
    schema::member_record_message record;
    record.vm = m_self.vm.value();
    record.incarnation = m_self.incarnation.value();
    record.address = m_self.address;
    record.zone = m_self.zone.value();
    record.renewal = ++m_renewal;
    record.leaving = leaving;
    const time_point sentAt = bootNow();
    m_quarantine.addTo(record, sentAt);
    const std::string content =
        m_store.encodeKeyed({m_self.vm.value(), encodeFlat<schema::member_record>(record)});
    const auto reply = m_store.append(MemberStream, {content}, std::nullopt);
    if (reply.result == append_result::Appended)
        m_peerTable.onOwnMembership(sentAt);
}

void member_registry::readMembers()
{
    const newest_reply reply = m_store.newest(MemberStream);
    if (!reply.read)
        return;
    const time_point now = bootNow();
    for (const keyed_record &keyed : reply.records) {
        const auto record = decodeFlat<schema::member_record>(keyed.value);
        if (!record)
            continue;
        m_quarantine.apply(*record, now);
        const gateway_member member{vm_id(record->vm), incarnation_number(record->incarnation),
                                    record->address, zone_id(record->zone)};
        if (record->leaving)
            m_peerTable.onMemberRemoved(member.vm, member.incarnation);
        else
            m_peerTable.onMember(member, record->renewal, now);
    }
    m_membersRead = true;
}

} // namespace tamarack
