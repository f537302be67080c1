// Deduplication of attempts with bounded memory.
#include <tamarackglade/gate/attempt_ledger.hpp>

#include <algorithm>

namespace tamarack {

attempt_ledger::attempt_ledger(incarnation_number own, ledger_limits limits, gate_mutation mutation)
    : m_own(own), m_limits(limits), m_mutation(mutation)
{
}

ledger_verdict attempt_ledger::admit(const call_attempt_name &name)
{
    if (name.sideIncarnation != m_own)
        return ledger_verdict::Unknown;
    auto &attempts = senderOf(name).attempts;
    const auto found = attempts.find(name.sequence);
    if (found == attempts.end()) {
        if (mayHaveForgotten(name))
            return ledger_verdict::Unknown;
        attempts.emplace(name.sequence, state::Pending);
        return ledger_verdict::Fresh;
    }
    return found->second == state::Refused ? ledger_verdict::Refused : ledger_verdict::Duplicate;
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

bool attempt_ledger::proveNeverStarted(const call_attempt_name &name, time_point now)
{
    if (name.sideIncarnation != m_own)
        return false;
    auto &attempts = senderOf(name).attempts;
    const auto found = attempts.find(name.sequence);
    if (found == attempts.end()) {
        if (mayHaveForgotten(name))
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
            forgetSettled(from, now);
        retireOldIncarnations(vm, all, now);
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

bool attempt_ledger::mayHaveForgotten(const call_attempt_name &name) const
{
    const auto retired = m_retired.find(name.entry);
    if (retired != m_retired.end() && name.entryIncarnation.value() <= retired->second.value())
        return true;
    const auto vm = m_senders.find(name.entry);
    if (vm == m_senders.end())
        return false;
    const auto from = vm->second.find(name.entryIncarnation);
    return from != vm->second.end() && name.sequence <= from->second.forgottenUpTo;
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
    from.lastSettled = now;
    if (from.settled.size() > m_limits.settledPerSender)
        forgetOldest(from);
}

void attempt_ledger::forgetOldest(sender &from)
{
    const auto sequence = from.settled.front().second;
    from.settled.pop_front();
    from.attempts.erase(sequence);
    from.forgottenUpTo = std::max(from.forgottenUpTo, sequence);
}

void attempt_ledger::forgetSettled(sender &from, time_point now)
{
    while (!from.settled.empty() && from.settled.front().first + m_limits.retention <= now)
        forgetOldest(from);
}

void attempt_ledger::retireOldIncarnations(const vm_id &vm, senders &all, time_point now)
{
    // The newest incarnation stays: its entry may be idle and send again.
    while (all.size() > 1) {
        const auto oldest = all.begin();
        const bool idle = oldest->second.lastSettled + m_limits.retention <= now;
        if (!oldest->second.attempts.empty() || !idle)
            return;
        m_retired[vm] = std::max(m_retired[vm], oldest->first, by_value());
        all.erase(oldest);
    }
}

} // namespace tamarack
