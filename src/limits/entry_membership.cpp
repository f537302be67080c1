// What one entry knows of the others.
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
    m_lastUpdate = now;
    m_listed.clear();
    for (const auto &entry : entries) {
        m_listed.emplace(entry.vm, entry.incarnation);
        m_lastShown[entry.vm] = now;
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

bool entry_membership::hasEnded(const live_entry &entry, time_point knownSince) const
{
    if (entry.vm == m_self.vm)
        return entry.incarnation.value() < m_self.incarnation.value();
    if (!m_lastUpdate)
        return false;
    const auto found = m_listed.find(entry.vm);
    if (found != m_listed.end())
        return found->second.value() > entry.incarnation.value();
    const auto shown = m_lastShown.find(entry.vm);
    const time_point since =
        shown == m_lastShown.end() ? knownSince : std::max(knownSince, shown->second);
    return *m_lastUpdate >= since + m_vmListLag;
}

std::optional<live_entry> entry_membership::chooseSuccessor(partition_id partition,
                                                            const vm_id &home,
                                                            const vm_id &excluded,
                                                            time_point now) const
{
    const live_entry place = listed(home);
    const auto order = [&](const live_entry &entry) {
        return std::tuple(entry.region == place.region, entry.zone != place.zone,
                          score(entry.vm, partition));
    };
    std::optional<live_entry> best;
    for (const auto &entry : m_entries) {
        const bool isBarred = entry.vm == m_self.vm || entry.vm == home || entry.vm == excluded;
        if (isBarred || !isCandidate(entry.vm) || isSuspect(entry, now))
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

std::optional<live_entry> entry_membership::chooseHeir(partition_id partition) const
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
