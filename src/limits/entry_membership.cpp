// One entry's view of the other entries.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/limits/entry_membership.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarack {

namespace {

std::uint64_t score(const vm_id &vm, partition_id partition)
{
    return stableHash(vm.value(), partition.value());
}

} // namespace

entry_membership::entry_membership(live_entry self, duration vmListLag)
    : m_self(std::move(self)), m_vmListLag(vmListLag)
{
}

void entry_membership::update(const std::vector<live_entry> &entries, time_point now)
{
    m_entries = entries;
    m_lastUpdateAt = now;
    m_listedIncarnations.clear();
    for (const auto &entry : entries) {
        m_listedIncarnations.emplace(entry.vm, entry.incarnation);
        m_lastListedAt[entry.vm] = now;
    }
}

void entry_membership::setCandidates(std::unordered_set<vm_id> candidates)
{
    m_candidates = std::move(candidates);
}

void entry_membership::suspect(const live_entry &entry, time_point until)
{
    m_suspects[entry.vm] = {entry.incarnation, until};
}

bool entry_membership::hasEnded(const live_entry &entry, time_point recordedAt) const
{
    if (entry.vm == m_self.vm)
        return entry.incarnation.value() < m_self.incarnation.value();
    if (!m_lastUpdateAt)
        return false;
    const auto found = m_listedIncarnations.find(entry.vm);
    if (found != m_listedIncarnations.end())
        return found->second.value() > entry.incarnation.value();
    const auto lastListed = m_lastListedAt.find(entry.vm);
    const time_point since =
        lastListed == m_lastListedAt.end() ? recordedAt : std::max(recordedAt, lastListed->second);
    return *m_lastUpdateAt >= since + m_vmListLag;
}

std::optional<live_entry> entry_membership::chooseSuccessor(partition_id partition,
                                                            const vm_id &home,
                                                            const vm_id &excluded,
                                                            time_point now) const
{
    const live_entry homeEntry = listed(home);
    const auto order = [&](const live_entry &entry) {
        return std::tuple(entry.region == homeEntry.region, entry.zone != homeEntry.zone,
                          score(entry.vm, partition));
    };
    std::optional<live_entry> best;
    for (const auto &entry : m_entries) {
        const bool isExcluded = entry.vm == m_self.vm || entry.vm == home || entry.vm == excluded;
        if (isExcluded || !isCandidate(entry.vm) || isSuspect(entry, now))
            continue;
        if (!best || order(entry) > order(*best))
            best = entry;
    }
    return best;
}

live_entry entry_membership::listed(const vm_id &vm) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const live_entry &entry) { return entry.vm == vm; });
    return found == m_entries.end() ? live_entry{vm, incarnation_number(0)} : *found;
}

bool entry_membership::isSuspect(const live_entry &entry, time_point now) const
{
    const auto found = m_suspects.find(entry.vm);
    return found != m_suspects.end() && now < found->second.until
           && entry.incarnation.value() <= found->second.incarnation.value();
}

std::optional<live_entry> entry_membership::chooseHandOverTarget(partition_id partition) const
{
    const auto order = [&](const live_entry &entry) {
        return std::pair(isCandidate(entry.vm), score(entry.vm, partition));
    };
    std::optional<live_entry> best;
    for (const auto &entry : m_entries) {
        const bool isBetter = !best || order(entry) > order(*best);
        if (entry.vm != m_self.vm && isBetter)
            best = entry;
    }
    return best;
}

std::optional<std::size_t> entry_membership::rank(partition_id partition) const
{
    if (m_entries.empty())
        return std::nullopt;
    const auto own = score(m_self.vm, partition);
    const auto better = [&](const live_entry &entry) { return score(entry.vm, partition) > own; };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), better));
}

} // namespace tamarack
