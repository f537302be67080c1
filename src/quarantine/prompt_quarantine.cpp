// Admission, trial requests and the exchange of quarantined parts.
#include <tamarackglade/quarantine/prompt_quarantine.hpp>
#include <tamarackglade/quarantine/trial_sender.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace tamarack {

prompt_quarantine::prompt_quarantine(vm_id self, incarnation_number incarnation,
                                     quarantine_options options)
    : m_self(std::move(self)), m_incarnation(incarnation), m_options(options), m_evidence(options)
{
}

std::optional<blocked_part> prompt_quarantine::check(const group_id &group,
                                                     const std::vector<prompt_part_id> &parts,
                                                     time_point now) const
{
    if (m_parts.empty())
        return std::nullopt;
    for (const prompt_part_id &part : parts) {
        const part_hash hash = hashOf(group, part);
        const auto found = m_parts.find(hash);
        if (found == m_parts.end() || found->second.state.released)
            continue;
        if (!maySendTrial(hash, found->second, now))
            return blocked_part{part,
                                std::max(duration::zero(), found->second.state.trialAt() - now)};
    }
    return std::nullopt;
}

std::optional<blocked_part> prompt_quarantine::beginRun(const group_id &group,
                                                        const std::vector<prompt_part_id> &parts,
                                                        time_point now)
{
    auto blocked = check(group, parts, now);
    for (const prompt_part_id &part : parts) {
        const auto found = m_parts.find(hashOf(group, part));
        if (found == m_parts.end() || found->second.state.released)
            continue;
        found->second.usedAt = now;
        if (!blocked)
            found->second.trialSince = now;
    }
    return blocked;
}

bool prompt_quarantine::maySendTrial(part_hash part, const entry &known, time_point now) const
{
    const bool trialRuns = known.trialSince && now - *known.trialSince < m_options.trialTimeout;
    return now >= known.state.trialAt() && !trialRuns
           && sendsTrials(m_self, m_serving, part.value());
}

void prompt_quarantine::onFirstEvent(const group_id &group,
                                     const std::vector<prompt_part_id> &parts, time_point now)
{
    m_successes = recentSuccesses(now) + 1;
    m_successesAt = now;
    for (const prompt_part_id &part : parts) {
        const part_hash hash = hashOf(group, part);
        m_evidence.addSuccess(hash, now);
        const auto found = m_parts.find(hash);
        if (found != m_parts.end() && !found->second.state.released)
            release(found->second, quarantine_reason::Success, now);
    }
}

broken_run prompt_quarantine::onBreak(broken_run broken, time_point now)
{
    broken.reporter = m_self;
    broken.incarnation = m_incarnation;
    broken.number = ++m_breaks;
    m_evidence.add(broken, now);
    return broken;
}

void prompt_quarantine::endRun(const group_id &group, const std::vector<prompt_part_id> &parts,
                               bool sent, time_point now)
{
    for (const prompt_part_id &part : parts) {
        const auto found = m_parts.find(hashOf(group, part));
        if (found == m_parts.end() || !found->second.trialSince)
            continue;
        found->second.trialSince.reset();
        if (sent && !found->second.state.released)
            quarantine({group, part, {}}, quarantine_reason::FailedTrial, now);
    }
}

void prompt_quarantine::onPeerBreak(const broken_run &broken, time_point now)
{
    if (broken.reporter != m_self)
        m_evidence.add(broken, now);
}

void prompt_quarantine::onPeerSuccess(const sound_part &sound)
{
    m_evidence.addSuccess(sound.part, sound.at);
}

void prompt_quarantine::adopt(const quarantined_part &state, time_point now)
{
    const auto found = m_parts.find(hashOf(state.group, state.part));
    if (found == m_parts.end()) {
        const bool isUnused = now - state.trialAt() > m_options.forgetAfter;
        if (!state.released && !isUnused)
            adoptNew(state, now);
        return;
    }
    quarantined_part &known = found->second.state;
    if (state.isNewerThan(known))
        adoptNew(state, now);
    else if (!known.isNewerThan(state))
        known.since = std::min(known.since, state.since);
}

void prompt_quarantine::adoptNew(const quarantined_part &state, time_point now)
{
    store(state, now);
    m_changes.push_back({state, quarantine_reason::Reported, {}});
}

void prompt_quarantine::tick(double peerSuccesses, std::vector<vm_id> serving, time_point now)
{
    m_serving = std::move(serving);
    const double successes = recentSuccesses(now) + peerSuccesses;
    const auto isCause = [this](part_hash part) { return isQuarantined(part); };
    while (const auto finding = m_evidence.evaluate(isCause, successes, now))
        quarantine(*finding, quarantine_reason::Crashes, now);
    releaseWithoutCrashes(now);
    std::erase_if(m_parts, [&](const auto &each) {
        const time_point unusedSince = std::max(each.second.usedAt, each.second.state.trialAt());
        return now - unusedSince > m_options.forgetAfter;
    });
}

bool prompt_quarantine::isQuarantined(part_hash part) const
{
    const auto found = m_parts.find(part);
    return found != m_parts.end() && !found->second.state.released;
}

void prompt_quarantine::quarantine(const crash_finding &finding, quarantine_reason reason,
                                   time_point now)
{
    const part_hash hash = hashOf(finding.group, finding.part);
    const auto found = m_parts.find(hash);
    quarantined_part state{finding.group, finding.part, 1, now, m_options.firstLength, false};
    if (found != m_parts.end()) {
        state.offences = found->second.state.offences + 1;
        state.length =
            std::min(found->second.state.length * m_options.lengthFactor, m_options.maxLength);
    }
    store(state, now);
    m_parts.at(hash).decidedHere = reason == quarantine_reason::Crashes;
    m_changes.push_back({state, reason, finding.count});
    releaseExplainedBy(hash, now);
}

// A part that is found only together with another cause was quarantined instead of it.
void prompt_quarantine::releaseExplainedBy(part_hash cause, time_point now)
{
    for (auto &[hash, each] : m_parts) {
        if (hash != cause && !each.state.released && m_evidence.onlyWith(hash, cause)
            && !m_evidence.onlyWith(cause, hash))
            release(each, quarantine_reason::OtherPart, now);
    }
}

void prompt_quarantine::releaseWithoutCrashes(time_point now)
{
    for (auto &[hash, each] : m_parts) {
        const bool mayBeWrong = each.decidedHere && !each.state.released
                                && now - each.state.since < m_options.livingWindow;
        if (mayBeWrong && m_evidence.crashesOf(hash).crashes < m_options.minCrashes)
            release(each, quarantine_reason::NoCrashes, now);
    }
}

void prompt_quarantine::release(entry &known, quarantine_reason reason, time_point now)
{
    known.state.released = true;
    known.trialSince.reset();
    known.usedAt = now;
    m_changes.push_back({known.state, reason, {}});
}

void prompt_quarantine::store(const quarantined_part &state, time_point now)
{
    const part_hash hash = hashOf(state.group, state.part);
    if (!m_parts.contains(hash))
        makeRoom();
    m_parts.insert_or_assign(hash, entry{state, std::nullopt, now});
}

void prompt_quarantine::makeRoom()
{
    if (m_parts.size() < m_options.maxParts)
        return;
    const auto longestUnused =
        std::min_element(m_parts.begin(), m_parts.end(), [](const auto &a, const auto &b) {
            return std::pair(!a.second.state.released, a.second.usedAt)
                   < std::pair(!b.second.state.released, b.second.usedAt);
        });
    m_parts.erase(longestUnused);
}

std::vector<sound_part> prompt_quarantine::soundSuspects(time_point now) const
{
    std::vector<sound_part> sound;
    for (const part_hash part : m_evidence.suspects()) {
        const auto at = m_evidence.lastSuccess(part);
        if (at && now - *at < m_options.recentSuccess)
            sound.push_back({part, *at});
    }
    return sound;
}

std::vector<quarantined_part> prompt_quarantine::states() const
{
    std::vector<quarantined_part> states;
    for (const auto &[hash, each] : m_parts)
        states.push_back(each.state);
    return states;
}

double prompt_quarantine::recentSuccesses(time_point now) const
{
    return m_successes
           * std::exp(-toSeconds(now - m_successesAt) / toSeconds(m_options.rateWindow));
}

std::size_t prompt_quarantine::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_parts.begin(), m_parts.end(),
                      [](const auto &each) { return !each.second.state.released; }));
}

std::vector<quarantine_change> prompt_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace tamarack
