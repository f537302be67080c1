// Counts successive crashes and selects the part that explains them best.
#include <tamarackglade/quarantine/crash_evidence.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace tamarack {

namespace {

bool contains(const std::vector<part_hash> &parts, part_hash part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

crash_evidence::crash_evidence(quarantine_options options)
    : m_options(options), m_successes(options.maxSuccesses), m_served(options.maxInstances)
{
}

bool crash_evidence::add(const broken_run &broken, time_point now)
{
    const auto isSame = [&](const entry &each) {
        return each.broken.number == broken.number && each.broken.reporter == broken.reporter
               && each.broken.incarnation == broken.incarnation;
    };
    dropOld(now);
    const bool isOld = now - broken.brokeAt > m_options.evidenceLifetime;
    if (isOld || std::any_of(m_entries.begin(), m_entries.end(), isSame))
        return false;
    entry added{broken, {}, now, false};
    for (const prompt_part_id &part : broken.parts)
        added.parts.push_back(hashOf(broken.group, part));
    m_entries.push_back(std::move(added));
    if (m_entries.size() > m_options.maxBreaks)
        m_entries.pop_front();
    return true;
}

std::optional<crash_finding> crash_evidence::evaluate(const part_predicate &isCause,
                                                      double successes, time_point now)
{
    for (entry &each : m_entries) {
        if (each.evaluated || now - each.addedAt < m_options.settleTime)
            continue;
        each.evaluated = true;
        const instance_set explained = instancesWith(isCause);
        if (explained.contains(each.broken.instance))
            continue;
        if (auto cause = findCause(each, explained, successes, now))
            return cause;
    }
    return std::nullopt;
}

// The last part that has enough crashes is the cause, as it is in the fewest requests.
std::optional<crash_finding> crash_evidence::findCause(const entry &candidate,
                                                       const instance_set &explained,
                                                       double successes, time_point now) const
{
    for (std::size_t i = candidate.parts.size(); i-- > 0;) {
        const part_hash part = candidate.parts[i];
        const auto succeededAt = m_successes.find(part);
        const bool isInUse = succeededAt && now - *succeededAt < m_options.recentSuccess;
        const instance_set &ignored = isInUse ? explained : instance_set();
        const crash_count counted = crashesOf(part, ignored, candidate.addedAt);
        const bool enough = counted.requests >= m_options.minRequests
                            || counted.crashes >= m_options.minCrashesOfOne;
        if (enough && counted.crashes >= requiredCrashes(part, successes, now)
            && !causedByLaterPart(part))
            return crash_finding{candidate.broken.group, candidate.broken.parts[i], counted};
    }
    return std::nullopt;
}

// Requests that share a prefix have their first parts in common, and with these most crashes of the
// part that causes them.
bool crash_evidence::causedByLaterPart(part_hash part) const
{
    instance_set own;
    std::map<part_hash, instance_set> later;
    for (const entry &each : m_entries) {
        auto at = std::find(each.parts.begin(), each.parts.end(), part);
        if (at == each.parts.end() || isBeforeSuccess(each, part) || isRefuted(each.broken))
            continue;
        own.insert(each.broken.instance);
        while (++at != each.parts.end())
            later[*at].insert(each.broken.instance);
    }
    return std::any_of(later.begin(), later.end(), [&](const auto &each) {
        return own.size() - each.second.size() < m_options.minOwnCrashes;
    });
}

bool crash_evidence::isBeforeSuccess(const entry &each, part_hash part) const
{
    const auto succeededAt = m_successes.find(part);
    return succeededAt && each.broken.brokeAt <= *succeededAt;
}

bool crash_evidence::livesOn(instance_hash instance, time_point since) const
{
    const auto served = m_served.find(instance);
    return served && *served > since + m_options.clockMargin && m_listed.contains(instance);
}

bool crash_evidence::isRefuted(const broken_run &broken) const
{
    return livesOn(broken.instance, broken.brokeAt) || m_isFaultOfAnother(broken);
}

std::vector<served_run> crash_evidence::servedSinceBreak(time_point now) const
{
    std::vector<served_run> runs;
    instance_set added;
    for (const entry &each : m_entries) {
        const bool isRecent = now - each.broken.brokeAt < m_options.livingWindow;
        if (isRecent && livesOn(each.broken.instance, each.broken.brokeAt)
            && added.insert(each.broken.instance).second)
            runs.push_back({each.broken.instance, *m_served.find(each.broken.instance)});
    }
    return runs;
}

crash_count crash_evidence::crashesOf(part_hash part) const
{
    return crashesOf(part, {}, time_point::max());
}

crash_count crash_evidence::crashesOf(part_hash part, const instance_set &without,
                                      time_point addedUntil) const
{
    std::vector<const broken_run *> breaks;
    for (const entry &each : m_entries) {
        if (each.addedAt <= addedUntil && contains(each.parts, part) && !isBeforeSuccess(each, part)
            && !without.contains(each.broken.instance) && !isRefuted(each.broken))
            breaks.push_back(&each.broken);
    }
    std::sort(breaks.begin(), breaks.end(),
              [](const broken_run *a, const broken_run *b) { return a->brokeAt < b->brokeAt; });
    crash_count count;
    instance_set instances;
    std::set<request_fingerprint> requests;
    std::optional<time_point> lastAt;
    for (const broken_run *each : breaks) {
        requests.insert(each->request);
        if ((lastAt && each->sentAt < *lastAt) || !instances.insert(each->instance).second)
            continue;
        lastAt = each->brokeAt;
        ++count.crashes;
    }
    count.requests = requests.size();
    return count;
}

// The number of crashes in a row that is improbable by chance, given how often runs without the
// part break early. Infinite if no run succeeds, as the upstreams then crash whatever they run.
double crash_evidence::requiredCrashes(part_hash part, double successes, time_point now) const
{
    const instance_set own = instancesWith([&](part_hash each) { return each == part; });
    const auto unrelated =
        std::count_if(m_entries.begin(), m_entries.end(), [&](const entry &each) {
            return !each.parts.empty() && now - each.broken.brokeAt < m_options.rateWindow
                   && !own.contains(each.broken.instance);
        });
    const double breaks = static_cast<double>(unrelated) + 1;
    const double chance = breaks / (breaks + successes);
    if (chance >= 1)
        return std::numeric_limits<double>::infinity();
    const double required = std::ceil(std::log(m_options.maxChance) / std::log(chance));
    return std::max<double>(m_options.minCrashes, required);
}

crash_evidence::instance_set crash_evidence::instancesWith(const part_predicate &matches) const
{
    instance_set instances;
    for (const entry &each : m_entries) {
        if (std::any_of(each.parts.begin(), each.parts.end(), matches))
            instances.insert(each.broken.instance);
    }
    return instances;
}

std::vector<part_hash> crash_evidence::suspects() const
{
    std::set<part_hash> once;
    std::set<part_hash> twice;
    for (const entry &each : m_entries) {
        for (const part_hash part : each.parts) {
            if (!once.insert(part).second)
                twice.insert(part);
        }
    }
    return {twice.begin(), twice.end()};
}

bool crash_evidence::onlyWith(part_hash part, part_hash other) const
{
    bool found = false;
    for (const entry &each : m_entries) {
        if (!contains(each.parts, part))
            continue;
        if (!contains(each.parts, other))
            return false;
        found = true;
    }
    return found;
}

std::vector<broken_run> crash_evidence::breaksOf(const vm_id &reporter, time_point since) const
{
    std::vector<broken_run> breaks;
    for (const entry &each : m_entries) {
        if (each.broken.reporter == reporter && each.broken.brokeAt > since)
            breaks.push_back(each.broken);
    }
    return breaks;
}

void crash_evidence::dropOld(time_point now)
{
    std::erase_if(m_entries, [&](const entry &each) {
        return now - each.broken.brokeAt > m_options.evidenceLifetime;
    });
}

} // namespace tamarack
