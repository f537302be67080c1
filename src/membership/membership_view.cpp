// Merges the VM list with direct messages of processes.
#include <tamarackglade/membership/membership_view.hpp>

#include <algorithm>
#include <limits>

namespace tamarack {

namespace {

const incarnation_number AllIncarnations(std::numeric_limits<std::uint64_t>::max());

} // namespace

void membership_view::onList(const vm_list &entries)
{
    for (auto &[vm, record] : m_members)
        record.isListed = false;
    for (const listed_vm &entry : entries)
        recordListed(entry);
}

bool membership_view::onHello(const vm_id &vm, incarnation_number incarnation)
{
    member &record = m_members[vm];
    const bool isNewest = incarnation >= record.newestIncarnation;
    recordIncarnation(record, incarnation);
    return isNewest;
}

void membership_view::onLeaving(const vm_id &vm, incarnation_number incarnation)
{
    if (m_mutation == membership_mutation::ListOnly)
        return;
    member &record = m_members[vm];
    recordIncarnation(record, incarnation);
    record.leavingUpTo = std::max(record.leavingUpTo, incarnation);
}

void membership_view::onDrained(std::span<const drained_vm> drained)
{
    for (const drained_vm &entry : drained) {
        member &record = m_members[entry.vm];
        const incarnation_number upTo =
            entry.upTo == incarnation_number(0) ? AllIncarnations : entry.upTo;
        record.leavingUpTo = std::max(record.leavingUpTo, upTo);
    }
}

bool membership_view::acceptsWork(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return false;
    return found->second.isListed && !found->second.isLeaving();
}

bool membership_view::hasEnded(const vm_id &vm, incarnation_number incarnation) const
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return false; // a lagging list may not contain it yet
    const member &record = found->second;
    if (record.newestIncarnation > incarnation)
        return true;
    const bool wasListed = record.listed && record.listed->incarnation >= incarnation;
    return wasListed && !record.isListed;
}

bool membership_view::isLeaving(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    return found != m_members.end() && found->second.isLeaving();
}

incarnation_number membership_view::newestIncarnation(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? incarnation_number(0) : found->second.newestIncarnation;
}

std::vector<listed_vm> membership_view::acceptingWork(vm_role role) const
{
    std::vector<listed_vm> result;
    for (const auto &[vm, record] : m_members) {
        if (record.isListed && !record.isLeaving() && record.listed->role == role)
            result.push_back(*record.listed);
    }
    return result;
}

std::vector<vm_id> membership_view::processes() const
{
    std::vector<vm_id> result;
    for (const auto &[vm, record] : m_members) {
        if (record.isListed && record.listed->role != vm_role::Service)
            result.push_back(vm);
    }
    return result;
}

void membership_view::recordIncarnation(member &record, incarnation_number incarnation) const
{
    if (m_mutation == membership_mutation::ReviveOlder)
        record.newestIncarnation = incarnation;
    record.newestIncarnation = std::max(record.newestIncarnation, incarnation);
}

// A late list may contain an older incarnation, which proves only that the VM is listed.
void membership_view::recordListed(const listed_vm &entry)
{
    member &record = m_members[entry.vm];
    record.isListed = true;
    recordIncarnation(record, entry.incarnation);
    if (!record.listed || entry.incarnation >= record.listed->incarnation)
        record.listed = entry;
    if (entry.state == listed_state::Leaving)
        record.leavingUpTo = std::max(record.leavingUpTo, entry.incarnation);
}

} // namespace tamarack
