// Deduplication of attempts with bounded memory.
#include <tamarackglade/gate/attempt_ledger.hpp>

#include <algorithm>

namespace tamarack {

attempt_ledger::attempt_ledger(incarnation_number own, ledger_limits limits, gate_mutation mutation)
    : m_own(own), m_limits(limits), m_mutation(mutation)
{
}

dedup_result attempt_ledger::admit(const call_attempt_name &name)
{
    if (name.sideIncarnation != m_own)
        return dedup_result::Unknown;
    auto &attempts = senderOf(name).attempts;
    const auto found = attempts.find(name.sequence);
    if (found == attempts.end()) {
        if (mayHaveBeenEvicted(name))
            return dedup_result::Unknown;
        attempts.emplace(name.sequence, state::Pending);
        return dedup_result::New;
    }
    return found->second == state::Refused ? dedup_result::Refused : dedup_result::Duplicate;
}

void attempt_ledger::start(const call_attempt_name &name)
{
    senderOf(name).attempts[name.sequence] = state::Started;
}

void attempt_ledger::finish(const call_attempt_name &name, time_point now)
{
    settle(name, state::Finished, now);
}

void attempt_ledger::refuse(const call_attempt_name &name, time_point now)
{
    settle(name, state::Refused, now);
}

bool attempt_ledger::ensureNeverStarts(const call_attempt_name &name, time_point now)
{
    if (name.sideIncarnation != m_own)
        return false;
    auto &attempts = senderOf(name).attempts;
    const auto found = attempts.find(name.sequence);
    if (found == attempts.end()) {
        if (mayHaveBeenEvicted(name))
            return false;
        if (m_mutation != gate_mutation::NoTombstone)
            refuse(name, now);
        return true;
    }
    if (found->second == state::Pending)
        refuse(name, now);
    return found->second == state::Refused;
}

void attempt_ledger::tick(time_point now)
{
    for (auto &[vm, all] : m_senders) {
        for (auto &[incarnation, from] : all)
            evictExpired(from, now);
        evictOldIncarnations(vm, all, now);
    }
}

std::size_t attempt_ledger::size() const
{
    std::size_t total = 0;
    for (const auto &[vm, all] : m_senders) {
        for (const auto &[incarnation, from] : all)
            total += from.attempts.size();
    }
    return total;
}

bool attempt_ledger::mayHaveBeenEvicted(const call_attempt_name &name) const
{
    const auto evicted = m_evictedIncarnations.find(name.entry);
    if (evicted != m_evictedIncarnations.end()
        && name.entryIncarnation.value() <= evicted->second.value())
        return true;
    const auto vm = m_senders.find(name.entry);
    if (vm == m_senders.end())
        return false;
    const auto from = vm->second.find(name.entryIncarnation);
    return from != vm->second.end() && name.sequence <= from->second.evictedUpTo;
}

attempt_ledger::sender &attempt_ledger::senderOf(const call_attempt_name &name)
{
    return m_senders[name.entry][name.entryIncarnation];
}

void attempt_ledger::settle(const call_attempt_name &name, state value, time_point now)
{
    auto &from = senderOf(name);
    auto &current = from.attempts[name.sequence];
    const bool known = current == state::Finished || current == state::Refused;
    current = value;
    if (known)
        return;
    from.settled.emplace_back(now, name.sequence);
    from.lastSettledAt = now;
    if (from.settled.size() > m_limits.maxSettledPerSender)
        evictOldest(from);
}

void attempt_ledger::evictOldest(sender &from)
{
    const auto sequence = from.settled.front().second;
    from.settled.pop_front();
    from.attempts.erase(sequence);
    from.evictedUpTo = std::max(from.evictedUpTo, sequence);
}

void attempt_ledger::evictExpired(sender &from, time_point now)
{
    while (!from.settled.empty() && from.settled.front().first + m_limits.retention <= now)
        evictOldest(from);
}

void attempt_ledger::evictOldIncarnations(const vm_id &vm, senders &all, time_point now)
{
    // The newest incarnation is kept: its entry may be idle and send attempts again.
    while (all.size() > 1) {
        const auto oldest = all.begin();
        const bool idle = oldest->second.lastSettledAt + m_limits.retention <= now;
        if (!oldest->second.attempts.empty() || !idle)
            return;
        m_evictedIncarnations[vm] =
            std::max(m_evictedIncarnations[vm], oldest->first, less_by_value());
        all.erase(oldest);
    }
}

} // namespace tamarack
