// The membership: the platform's lagging VM list, merged with direct messages of processes.
#pragma once

#include <tamarackglade/config/drained_vm.hpp>
#include <tamarackglade/membership/member.hpp>
#include <tamarackglade/membership/membership_mutation.hpp>
#include <tamarackglade/membership/vm_list.hpp>

#include <map>
#include <span>
#include <vector>

namespace tamarack {

/// @brief A process's view of all VMs. The view is monotonic: the newest incarnation of a VM
/// counts, and an incarnation that was once seen leaving stays leaving, whatever a late list or
/// message contains.
class membership_view
{
public:
    explicit membership_view(membership_mutation mutation = membership_mutation::None)
        : m_mutation(mutation)
    {
    }

    /// @brief Merges the platform's list. Complexity O(VMs log VMs).
    void onList(const vm_list &list);

    /// @brief Records the hello of a process on a direct connection.
    /// @return whether it is the VM's newest process; an older one has to be refused
    bool onHello(const vm_id &vm, incarnation_number incarnation);

    /// @brief Records a process's own announcement that it is leaving.
    void onLeaving(const vm_id &vm, incarnation_number incarnation);

    /// @brief Marks the VMs that operators drained, from the configuration, as leaving.
    void onDrained(std::span<const drained_vm> drained);

    /// @return whether new work may go to a VM: listed, and not leaving
    [[nodiscard]] bool acceptsWork(const vm_id &vm) const;

    /// @return whether a process has certainly ended: a newer one runs on its VM, or the list no
    /// longer contains the VM. Missing messages are never a proof.
    [[nodiscard]] bool hasEnded(const vm_id &vm, incarnation_number incarnation) const;

    /// @return whether a VM's newest process is leaving
    [[nodiscard]] bool isLeaving(const vm_id &vm) const;

    /// @return the newest incarnation of a VM; 0 if it was never seen
    [[nodiscard]] incarnation_number newestIncarnation(const vm_id &vm) const;

    /// @return listed VMs of a role that accept work, in order of name
    [[nodiscard]] std::vector<listed_vm> acceptingWork(vm_role role) const;

    /// @return names of all listed entries and sides, including leaving ones, as targets of gossip
    [[nodiscard]] std::vector<vm_id> processes() const;

private:
    void recordIncarnation(member &record, incarnation_number incarnation) const;
    void recordListed(const listed_vm &entry);

    membership_mutation m_mutation;
    std::map<vm_id, member> m_members;
};

} // namespace tamarack
