// Counts the crashes of each request and tells causes from bystanders.
#include <tamarackglade/quarantine/request_crashes.hpp>

#include <algorithm>

namespace tamarack {

namespace {

bool contains(const std::vector<request_crash> &crashes, instance_hash instance)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [&](const request_crash &each) { return each.instance == instance; });
}

// A request that keeps crashing upstreams needs no longer list.
constexpr std::size_t MaxCrashesKept = 8;

} // namespace

request_crashes::request_crashes(const request_quarantine_options &options)
    : m_options(options), m_successes(options.maxSuccesses)
{
}

bool request_crashes::add(const broken_run &broken, time_point now)
{
    if (now - broken.brokeAt > m_options.forgetAfter)
        return false;
    if (contains(of(broken.request), broken.instance) || isRecent(broken))
        return false;
    if (now - broken.brokeAt < m_options.livingWindow && m_recent.size() < m_options.maxRequests)
        m_recent.push_back({broken.request, broken.group, broken.instance, broken.brokeAt, false});
    const auto succeededAt = m_successes.find(broken.request);
    const bool isCleared = succeededAt && broken.brokeAt <= *succeededAt;
    if (broken.ofBatchItem || isCleared || of(broken.request).size() == MaxCrashesKept)
        return false;
    makeRoomFor(broken.request);
    m_requests[broken.request].push_back({broken.instance, broken.brokeAt, now});
    m_byInstance[broken.instance].insert(broken.request);
    return true;
}

bool request_crashes::isRecent(const broken_run &broken) const
{
    return std::any_of(m_recent.begin(), m_recent.end(), [&](const recent_break &each) {
        return each.instance == broken.instance && each.request == broken.request;
    });
}

void request_crashes::addSuccess(const request_fingerprint &request, time_point at)
{
    m_successes.add(request, at);
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    const crash_list crashes = found->second;
    for (const request_crash &each : crashes) {
        if (each.brokeAt <= at)
            remove(request, each.instance);
    }
}

void request_crashes::dropRefuted(const living_predicate &livesOn, time_point now)
{
    std::erase_if(m_recent, [&](const recent_break &each) {
        return now - each.brokeAt > m_options.livingWindow;
    });
    for (recent_break &each : m_recent) {
        if (each.refuted || !livesOn(each.instance, each.brokeAt))
            continue;
        each.refuted = true;
        remove(each.request, each.instance);
    }
}

void request_crashes::dropOld(time_point now)
{
    for (const request_fingerprint &request : withCrashes(1)) {
        const crash_list crashes = of(request);
        for (const request_crash &each : crashes) {
            if (now - each.brokeAt > m_options.forgetAfter)
                remove(request, each.instance);
        }
    }
}

const std::vector<request_crash> &request_crashes::of(const request_fingerprint &request) const
{
    static const crash_list None;
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? None : found->second;
}

const std::set<request_fingerprint> &request_crashes::at(instance_hash instance) const
{
    static const std::set<request_fingerprint> None;
    const auto found = m_byInstance.find(instance);
    return found == m_byInstance.end() ? None : found->second;
}

unsigned request_crashes::blameOf(const request_fingerprint &request) const
{
    const crash_list &crashes = of(request);
    if (crashes.size() >= m_options.maxExplainedCrashes)
        return static_cast<unsigned>(crashes.size());
    return static_cast<unsigned>(
        std::count_if(crashes.begin(), crashes.end(), [&](const request_crash &each) {
            const auto &others = at(each.instance);
            return std::none_of(
                others.begin(), others.end(), [&](const request_fingerprint &other) {
                    return explains(other, request, each.instance) && !mayBeBystander(other);
                });
        }));
}

bool request_crashes::isBystanderOf(const request_predicate &isCause,
                                    const request_fingerprint &request) const
{
    const crash_list &crashes = of(request);
    return std::all_of(crashes.begin(), crashes.end(), [&](const request_crash &each) {
        const auto &others = at(each.instance);
        return std::any_of(others.begin(), others.end(), [&](const request_fingerprint &other) {
            return isCause(other) && explains(other, request, each.instance);
        });
    });
}

bool request_crashes::mayBeBystander(const request_fingerprint &request) const
{
    return isBystanderOf([](const request_fingerprint &) { return true; }, request);
}

// The other request has to have crashed as many upstreams, one of them without this request.
bool request_crashes::explains(const request_fingerprint &other, const request_fingerprint &request,
                               instance_hash instance) const
{
    if (other == request)
        return false;
    const crash_list &own = of(request);
    const crash_list &theirs = of(other);
    if (theirs.size() < own.size() || !contains(theirs, instance))
        return false;
    return std::any_of(theirs.begin(), theirs.end(),
                       [&](const request_crash &each) { return !contains(own, each.instance); });
}

std::vector<request_fingerprint> request_crashes::withCrashes(unsigned minCrashes) const
{
    std::vector<request_fingerprint> requests;
    for (const auto &[request, crashes] : m_requests) {
        if (crashes.size() >= minCrashes)
            requests.push_back(request);
    }
    return requests;
}

std::size_t request_crashes::crashedSince(const group_id &group, time_point since) const
{
    std::set<instance_hash> instances;
    for (const recent_break &each : m_recent) {
        if (each.group == group && each.brokeAt > since && !each.refuted)
            instances.insert(each.instance);
    }
    return instances.size();
}

void request_crashes::remove(const request_fingerprint &request, instance_hash instance)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    std::erase_if(found->second,
                  [&](const request_crash &each) { return each.instance == instance; });
    const auto others = m_byInstance.find(instance);
    if (others != m_byInstance.end()) {
        others->second.erase(request);
        if (others->second.empty())
            m_byInstance.erase(others);
    }
    if (found->second.empty())
        m_requests.erase(found);
}

void request_crashes::forget(const request_fingerprint &request)
{
    const crash_list crashes = of(request);
    for (const request_crash &each : crashes)
        remove(request, each.instance);
}

// Drops the request with the fewest crashes, and of these the one whose last crash is the oldest.
void request_crashes::makeRoomFor(const request_fingerprint &request)
{
    if (m_requests.size() < m_options.maxRequests || m_requests.contains(request))
        return;
    const auto least =
        std::min_element(m_requests.begin(), m_requests.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second.size(), a.second.back().brokeAt)
                   < std::pair(b.second.size(), b.second.back().brokeAt);
        });
    forget(request_fingerprint(least->first));
}

} // namespace tamarack
