// The merge of list and direct knowledge.
#include <tamarackglade/membership/membership_view.hpp>

#include <algorithm>
#include <limits>

namespace tamarack {

namespace {

const incarnation_number AllIncarnations(std::numeric_limits<std::uint64_t>::max());

} // namespace

void membership_view::onList(const vm_list &entries)
{
    for (auto &[vm, known] : m_members)
        known.onList = false;
    for (const listed_vm &entry : entries)
        list(entry);
}

bool membership_view::onHello(const vm_id &vm, incarnation_number process)
{
    member &known = m_members[vm];
    const bool isNewest = process >= known.newest;
    seen(known, process);
    return isNewest;
}

void membership_view::onLeaving(const vm_id &vm, incarnation_number process)
{
    if (m_mutation == membership_mutation::ListOnly)
        return;
    member &known = m_members[vm];
    seen(known, process);
    known.leavingUpTo = std::max(known.leavingUpTo, process);
}

void membership_view::onDrained(std::span<const drained_vm> drained)
{
    for (const drained_vm &entry : drained) {
        member &known = m_members[entry.vm];
        const incarnation_number upTo =
            entry.upTo == incarnation_number(0) ? AllIncarnations : entry.upTo;
        known.leavingUpTo = std::max(known.leavingUpTo, upTo);
    }
}

bool membership_view::takesWork(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return false;
    return found->second.onList && !found->second.leaving();
}

bool membership_view::hasEnded(const vm_id &vm, incarnation_number process) const
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return false; // a lagging list may not have it yet
    const member &known = found->second;
    if (known.newest > process)
        return true;
    const bool wasListed = known.listed && known.listed->process >= process;
    return wasListed && !known.onList;
}

bool membership_view::isLeaving(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    return found != m_members.end() && found->second.leaving();
}

incarnation_number membership_view::newest(const vm_id &vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? incarnation_number(0) : found->second.newest;
}

std::vector<listed_vm> membership_view::takingWork(vm_role role) const
{
    std::vector<listed_vm> result;
    for (const auto &[vm, known] : m_members) {
        if (known.onList && !known.leaving() && known.listed->role == role)
            result.push_back(*known.listed);
    }
    return result;
}

std::vector<vm_id> membership_view::processes() const
{
    std::vector<vm_id> result;
    for (const auto &[vm, known] : m_members) {
        if (known.onList && known.listed->role != vm_role::Service)
            result.push_back(vm);
    }
    return result;
}

void membership_view::seen(member &known, incarnation_number process) const
{
    if (m_mutation == membership_mutation::ReviveOlder)
        known.newest = process;
    known.newest = std::max(known.newest, process);
}

// A late list may show an older incarnation: it tells that the VM is there, nothing else.
void membership_view::list(const listed_vm &entry)
{
    member &known = m_members[entry.vm];
    known.onList = true;
    seen(known, entry.process);
    if (!known.listed || entry.process >= known.listed->process)
        known.listed = entry;
    if (entry.state == listed_state::Leaving)
        known.leavingUpTo = std::max(known.leavingUpTo, entry.process);
}

} // namespace tamarack
