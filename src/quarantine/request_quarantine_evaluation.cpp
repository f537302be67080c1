// Evaluates the evidence: requests come into quarantine, are released and forgotten.
#include <tamarackglade/quarantine/request_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::seconds ForgetInterval{1};

} // namespace

void request_quarantine::tick(const request_crashes::living_predicate &livesOn,
                              std::vector<vm_id> serving,
                              std::map<group_id, std::size_t> groupSizes, time_point now)
{
    m_serving = std::move(serving);
    m_groupSizes = std::move(groupSizes);
    m_crashes.dropRefuted(livesOn, now);
    quarantineCrashing(now);
    releaseInnocent(now);
    if (now - m_forgottenAt >= ForgetInterval)
        forgetUnused(now);
}

void request_quarantine::quarantineCrashing(time_point now)
{
    std::erase_if(m_candidates, [&](const request_fingerprint &request) {
        const auto &crashes = m_crashes.of(request);
        if (crashes.size() < m_options.maxCrashes || findQuarantined(request) != nullptr)
            return true;
        if (now - crashes.back().addedAt < m_options.settleTime
            || m_crashes.blameOf(request) < m_options.maxCrashes)
            return false;
        const auto known = m_entries.find(request);
        quarantined_request state{request, 1, 0, now, now, false};
        if (known != m_entries.end())
            state.revision = known->second.state.revision + 1;
        else
            makeRoom();
        m_entries.insert_or_assign(request, entry{state, std::nullopt, true});
        m_decidedAt = now;
        noteChange(state, request_quarantine_reason::Crashes);
        return true;
    });
}

// Evidence that came late may exonerate a request.
void request_quarantine::releaseInnocent(time_point now)
{
    if (now - m_decidedAt > m_options.livingWindow)
        return;
    const auto isCause = [this](const request_fingerprint &request) {
        return findQuarantined(request) != nullptr && !m_crashes.mayBeBystander(request);
    };
    for (auto &[request, known] : m_entries) {
        const auto count = m_crashes.of(request).size();
        if (known.state.released || !known.decidedHere
            || now - known.state.since > m_options.livingWindow || known.state.trials > 0
            || count >= m_options.maxExplainedCrashes)
            continue;
        if (count < m_options.maxCrashes)
            release(known, request_quarantine_reason::NoCrashes, now);
        else if (m_crashes.isBystanderOf(isCause, request))
            release(known, request_quarantine_reason::OtherRequests, now);
    }
}

void request_quarantine::release(entry &known, request_quarantine_reason reason, time_point now)
{
    ++known.state.revision;
    known.state.released = true;
    known.state.usedAt = now;
    noteChange(known.state, reason);
}

void request_quarantine::forgetUnused(time_point now)
{
    m_forgottenAt = now;
    m_crashes.dropOld(now);
    std::erase_if(m_entries, [&](const auto &each) {
        return now - each.second.state.usedAt > m_options.forgetAfter;
    });
    std::erase_if(m_soundSuspects,
                  [&](const auto &each) { return now - each.second > m_options.recentSuccess; });
}

void request_quarantine::makeRoom()
{
    if (m_entries.size() < m_options.maxQuarantined)
        return;
    const auto longestUnused =
        std::min_element(m_entries.begin(), m_entries.end(), [](const auto &a, const auto &b) {
            return std::pair(!a.second.state.released, a.second.state.usedAt)
                   < std::pair(!b.second.state.released, b.second.state.usedAt);
        });
    m_entries.erase(longestUnused);
}

void request_quarantine::noteChange(const quarantined_request &state,
                                    request_quarantine_reason reason)
{
    m_changes.push_back({state, reason, m_crashes.of(state.request)});
}

std::vector<request_quarantine_change> request_quarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace tamarack
