// One entry's view of the other entries: the VM list, and the processes suspected to have failed.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/limits/live_entry.hpp>

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief Determines whether a process has certainly ended, and chooses successors.
class entry_membership
{
public:
    entry_membership(live_entry self, duration vmListLag);

    /// @brief Stores a new answer of the VM list.
    void update(const std::vector<live_entry> &entries, time_point now);

    /// @brief Sets the VMs from which successors are chosen: connected entries that accept work.
    /// Until the first call, all listed entries are candidates.
    void setCandidates(std::unordered_set<vm_id> candidates);

    /// @return whether a VM may be chosen as a successor
    [[nodiscard]] bool isCandidate(const vm_id &vm) const
    {
        return !m_candidates || m_candidates->contains(vm);
    }

    /// @brief Excludes a process from the choice of successors until a time point. Later processes
    /// on its VM are not suspect.
    void suspect(const live_entry &entry, time_point until);

    /// @brief Checks for proof that a process has ended. Complexity O(1) on average.
    /// @param recordedAt when this entry folded the record that names the process
    /// @return whether a newer incarnation runs on its VM, or the VM is missing in an answer that
    /// came at least the VM list's lag after recordedAt and after the VM was last listed. Answers
    /// may contradict each other within the lag.
    [[nodiscard]] bool hasEnded(const live_entry &entry, time_point recordedAt) const;

    /// @return the best successor for a partition's home: preferably in the home's region, then in
    /// another availability zone than the home, then by rendezvous hash; never self, home or
    /// excluded; none if no candidate is left
    [[nodiscard]] std::optional<live_entry> chooseSuccessor(partition_id partition,
                                                            const vm_id &home,
                                                            const vm_id &excluded,
                                                            time_point now) const;

    /// @return the best entry to hand a partition over to: a candidate, or else any listed entry,
    /// suspect or not; never self
    [[nodiscard]] std::optional<live_entry> chooseHandOverTarget(partition_id partition) const;

    /// @return this entry's position in the partition's rendezvous order, from 0; none without a
    /// list
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
    std::unordered_map<vm_id, time_point> m_lastListedAt; // when an answer last contained each VM
    struct suspicion
    {
        incarnation_number incarnation;
        time_point until;
    };
    std::unordered_map<vm_id, suspicion> m_suspects;
    std::optional<std::unordered_set<vm_id>> m_candidates;
};

} // namespace tamarack
