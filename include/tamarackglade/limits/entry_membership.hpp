// What one entry knows of the others: the VM list, and which VMs were silent lately.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/limits/live_entry.hpp>

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief Answers whether a process has certainly ended, and who is a good successor.
class entry_membership
{
public:
    entry_membership(live_entry self, duration vmListLag);

    /// @brief Takes a fresh answer of the VM list.
    void update(const std::vector<live_entry> &entries, time_point now);

    /// @brief Sets the VMs that a successor is chosen from: connected entries that take work.
    /// Until the first call, all listed entries are.
    void setCandidates(std::unordered_set<vm_id> candidates);

    /// @return whether a VM may be chosen as a successor
    [[nodiscard]] bool isCandidate(const vm_id &vm) const
    {
        return !m_candidates || m_candidates->contains(vm);
    }

    /// @brief Leaves a process out of the choice of successors until a time point. A later process
    /// on its VM is not suspect.
    void suspect(const live_entry &entry, time_point until);

    /// @return whether the process has certainly ended: a newer incarnation runs on its VM, or an
    /// answer that came a whole list's lag after recordedAt and after the VM was last shown lacks
    /// it. Answers may contradict each other within the lag. Complexity O(1) on average.
    [[nodiscard]] bool hasEnded(const live_entry &entry, time_point recordedAt) const;

    /// @return the best successor for a partition's home: rather in the home's region, there rather
    /// in another availability zone, and then by rendezvous hash; never self, home nor excluded
    [[nodiscard]] std::optional<live_entry> chooseSuccessor(partition_id partition,
                                                            const vm_id &home,
                                                            const vm_id &excluded,
                                                            time_point now) const;

    /// @return the best entry to hand a partition to: a candidate, or else any listed one, suspect
    /// or not; never self
    [[nodiscard]] std::optional<live_entry> chooseHandOverTarget(partition_id partition) const;

    /// @return this entry's place in the partition's rendezvous order; none without a list
    [[nodiscard]] std::optional<std::size_t> rank(partition_id partition) const;

    [[nodiscard]] const live_entry &self() const { return m_self; }

private:
    [[nodiscard]] live_entry listed(const vm_id &vm) const;
    [[nodiscard]] bool isSuspect(const live_entry &entry, time_point now) const;

    live_entry m_self;
    duration m_vmListLag;
    std::vector<live_entry> m_entries;
    // Invariant: the incarnations of m_entries by VM; of a VM listed twice, the first.
    std::unordered_map<vm_id, incarnation_number> m_listedIncarnations;
    std::optional<time_point> m_lastUpdateAt;
    std::unordered_map<vm_id, time_point> m_lastListedAt; // the last answer that showed each VM
    struct suspicion
    {
        incarnation_number incarnation;
        time_point until;
    };
    std::unordered_map<vm_id, suspicion> m_suspects;
    std::optional<std::unordered_set<vm_id>> m_candidates;
};

} // namespace tamarack
