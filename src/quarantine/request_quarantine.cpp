// Admission, trials, and what gateways exchange of requests in quarantine.
#include <tamarackglade/quarantine/request_quarantine.hpp>
#include <tamarackglade/quarantine/trial_sender.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

request_quarantine::request_quarantine(vm_id self, const request_quarantine_options &options)
    : m_self(std::move(self)), m_options(options), m_crashes(m_options)
{
}

std::optional<blocked_request> request_quarantine::check(const request_fingerprint &request,
                                                         const group_id &group, time_point now)
{
    const auto found = m_entries.find(request);
    if (found != m_entries.end() && !found->second.state.released) {
        found->second.state.usedAt = now;
        if (maySendTrial(found->second, now))
            return std::nullopt;
        return blocked_request{true, {}};
    }
    const unsigned blame = m_crashes.blameOf(request);
    if (blame < m_options.minSuspicion)
        return std::nullopt;
    if (blame >= m_options.maxCrashes || isRunning(request))
        return blocked_request{false, m_options.settleTime};
    if (manyAreDown(group, now))
        return blocked_request{false, m_options.putOffTime};
    return std::nullopt;
}

std::optional<blocked_request> request_quarantine::beginRun(const request_fingerprint &request,
                                                            const group_id &group, time_point now)
{
    if (const auto blocked = check(request, group, now))
        return blocked;
    ++m_running[request];
    const auto known = m_entries.find(request);
    if (known != m_entries.end() && !known->second.state.released)
        beginTrial(known->second, now);
    return std::nullopt;
}

// The trial counts before it is sent, as this gateway may be lost with it.
void request_quarantine::beginTrial(entry &known, time_point now)
{
    known.trialSince = now;
    ++known.state.revision;
    ++known.state.trials;
    known.state.since = now;
    known.state.usedAt = now;
    noteChange(known.state, request_quarantine_reason::Trial);
}

void request_quarantine::endRun(const request_fingerprint &request, run_end end, time_point now)
{
    const auto running = m_running.find(request);
    if (running != m_running.end() && --running->second == 0)
        m_running.erase(running);
    if (end == run_end::Proper) {
        if (!m_crashes.of(request).empty())
            m_soundSuspects[request] = now;
        onSuccess(request, now, now);
    }
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || !found->second.trialSince)
        return;
    found->second.trialSince.reset();
    quarantined_request &state = found->second.state;
    if (end != run_end::NotRun || state.released)
        return;
    // The trial was not made, so that another one may be sent at once.
    ++state.revision;
    --state.trials;
    state.since = now - lengthUntilTrial(state.trials);
}

bool request_quarantine::onBreak(const broken_run &broken, time_point now)
{
    const auto succeededAt = m_crashes.lastSuccess(broken.request);
    if (succeededAt && broken.brokeAt <= *succeededAt && !broken.ofBatchItem)
        m_soundSuspects[broken.request] = *succeededAt;
    if (!m_crashes.add(broken, now))
        return false;
    if (m_crashes.of(broken.request).size() >= m_options.maxCrashes)
        m_candidates.insert(broken.request);
    return true;
}

void request_quarantine::onPeerSuccess(const sound_request &sound, time_point now)
{
    onSuccess(sound.request, sound.at, now);
}

void request_quarantine::onSuccess(const request_fingerprint &request, time_point at,
                                   time_point now)
{
    m_crashes.addSuccess(request, at);
    const auto found = m_entries.find(request);
    if (found != m_entries.end() && !found->second.state.released && at > found->second.state.since)
        release(found->second, request_quarantine_reason::Success, now);
}

void request_quarantine::adopt(const quarantined_request &state, time_point now)
{
    if (now - state.usedAt > m_options.forgetAfter)
        return;
    const auto found = m_entries.find(state.request);
    if (found == m_entries.end()) {
        makeRoom();
        m_entries.insert({state.request, entry{state, std::nullopt, false}});
        if (!state.released)
            noteChange(state, request_quarantine_reason::Reported);
        return;
    }
    quarantined_request &known = found->second.state;
    const time_point usedAt = std::max(known.usedAt, state.usedAt);
    if (state.isNewerThan(known)) {
        const bool isChange = state.released != known.released;
        known = state;
        if (isChange)
            noteChange(state, request_quarantine_reason::Reported);
    } else if (!known.isNewerThan(state)) {
        known.trials = std::max(known.trials, state.trials);
        known.since = std::max(known.since, state.since);
    }
    known.usedAt = usedAt;
}

bool request_quarantine::isFaultOfAnother(const broken_run &broken) const
{
    const auto &requests = m_crashes.at(broken.instance);
    return std::any_of(requests.begin(), requests.end(), [&](const request_fingerprint &each) {
        return each != broken.request && findQuarantined(each) != nullptr;
    });
}

const request_quarantine::entry *
request_quarantine::findQuarantined(const request_fingerprint &request) const
{
    const auto found = m_entries.find(request);
    return found == m_entries.end() || found->second.state.released ? nullptr : &found->second;
}

bool request_quarantine::maySendTrial(const entry &known, time_point now) const
{
    const quarantined_request &state = known.state;
    const bool trialRuns = known.trialSince && now - *known.trialSince < m_options.trialTimeout;
    return !trialRuns && state.trials < m_options.maxTrials
           && now >= state.since + lengthUntilTrial(state.trials)
           && sendsTrials(m_self, m_serving, state.request.content);
}

duration request_quarantine::lengthUntilTrial(unsigned trials) const
{
    duration length = m_options.firstLength;
    for (unsigned i = 0; i < trials; ++i)
        length *= m_options.lengthFactor;
    return length;
}

bool request_quarantine::isRunning(const request_fingerprint &request) const
{
    return m_running.contains(request);
}

bool request_quarantine::manyAreDown(const group_id &group, time_point now) const
{
    const auto size = m_groupSizes.find(group);
    if (size == m_groupSizes.end())
        return false;
    const auto down = static_cast<double>(m_crashes.crashedSince(group, now - m_options.downTime));
    return down > 1 && down > static_cast<double>(size->second) * m_options.maxDownShare;
}

std::vector<sound_request> request_quarantine::soundSuspects(time_point now) const
{
    std::vector<sound_request> sound;
    for (const auto &[request, at] : m_soundSuspects) {
        if (now - at < m_options.recentSuccess)
            sound.push_back({request, at});
    }
    return sound;
}

std::vector<quarantined_request> request_quarantine::states() const
{
    std::vector<quarantined_request> states;
    states.reserve(m_entries.size());
    for (const auto &[request, each] : m_entries)
        states.push_back(each.state);
    std::sort(states.begin(), states.end(),
              [](const auto &a, const auto &b) { return a.usedAt > b.usedAt; });
    return states;
}

std::vector<request_fingerprint> request_quarantine::suspected() const
{
    std::vector<request_fingerprint> requests = m_crashes.withCrashes(m_options.minSuspicion);
    std::erase_if(requests, [&](const request_fingerprint &request) {
        return findQuarantined(request) != nullptr;
    });
    return requests;
}

std::size_t request_quarantine::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &each) { return !each.second.state.released; }));
}

} // namespace tamarack
