// Selects among the upstreams with a free slot.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

// In slots: upstreams whose cost exceeds the lowest by at most this are treated as equal. Gateways
// select at the same time by nearly the same counts; without the margin all would pick the same
// upstream.
constexpr double EqualCostMargin = 1.0;
constexpr unsigned MinUsable = 1; // slots of each upstream for any work, whatever is reserved
constexpr double MinTrackedScore = 0.05; // lower failure scores are removed

} // namespace

slot_allocator::slot_allocator(const upstream_directory &directory, upstream_rates &rates,
                               placement_options options, std::uint64_t seed)
    : m_directory(directory), m_rates(rates), m_options(std::move(options)), m_random(seed),
      m_claims(m_options.claims, seed)
{
}

std::optional<upstream_id> slot_allocator::pick(const placement_request &request, time_point now)
{
    struct candidate
    {
        const live_upstream *upstream;
        double cost;
    };
    dropOldReports(now);
    std::vector<candidate> candidates;
    double minCost = 0;
    const bool mayRepeat =
        !request.onlyOthers && (request.work == work_class::Batch || request.version);
    const bool excludes = !mayRepeat || hasOthers(request, now);
    for (const auto &[id, upstream] : m_directory.upstreams()) {
        if (!usable(upstream, request.group, request.version, now)
            || (excludes && request.excluded.contains(id)))
            continue;
        const unsigned used = usedSlots(id);
        const unsigned limit = capacity(upstream, request.work, request.version.has_value());
        if (isContended(upstream, request.work) && !mayTakeContended(id, used < limit, now))
            continue;
        if (used >= limit || !m_rates.maySend(id, request.work, now))
            continue;
        const double usedCost = occupiedCost(upstream, used, request.work, now);
        const double cost = usedCost + ruleFor(upstream).cost + failureCost(id, now);
        minCost = candidates.empty() ? cost : std::min(minCost, cost);
        candidates.push_back({&upstream, cost});
    }
    if (candidates.empty())
        return std::nullopt;
    std::erase_if(candidates,
                  [&](const candidate &each) { return each.cost > minCost + EqualCostMargin; });
    const auto affinity = [&](const candidate &each) {
        return stableHash(each.upstream->id.value(), request.prefixHash);
    };
    const live_upstream &picked =
        request.prefixHash == 0 ? *candidates[m_random() % candidates.size()].upstream
                                : *std::max_element(candidates.begin(), candidates.end(),
                                                    [&](const candidate &a, const candidate &b) {
                                                        return affinity(a) < affinity(b);
                                                    })
                                       ->upstream;
    if (!isContended(picked, request.work) || m_claims.holds(picked.id))
        return picked.id;
    beginClaim(picked.id, now);
    return std::nullopt;
}

bool slot_allocator::hasOthers(const placement_request &request, time_point now) const
{
    const auto &upstreams = m_directory.upstreams();
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        return usable(entry.second, request.group, request.version, now)
               && !request.excluded.contains(entry.first);
    });
}

bool slot_allocator::takesWork(const group_id &group, const std::set<upstream_id> &excluded,
                               time_point now) const
{
    const auto &upstreams = m_directory.upstreams();
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        return usable(entry.second, group, std::nullopt, now) && !excluded.contains(entry.first)
               && !failsAll(entry.first, now);
    });
}

bool slot_allocator::knows(const group_id &group) const
{
    const auto &upstreams = m_directory.upstreams();
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        return entry.second.group == group && m_directory.takesWork(entry.second);
    });
}

bool slot_allocator::isFailing(const group_id &group, const software_version &version,
                               time_point now) const
{
    const auto &upstreams = m_directory.upstreams();
    return std::none_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        const live_upstream &upstream = entry.second;
        return upstream.group == group && upstream.version == version
               && m_directory.takesWork(upstream) && !failsAll(upstream.id, now);
    });
}

unsigned slot_allocator::freeSlots(const group_id &group, work_class work, time_point now,
                                   const std::optional<software_version> &version)
{
    dropOldReports(now);
    unsigned free = 0;
    for (const auto &[id, upstream] : m_directory.upstreams()) {
        if (!usable(upstream, group, version, now) || !m_rates.maySend(id, work, now))
            continue;
        const unsigned used = usedSlots(id);
        const unsigned limit = capacity(upstream, work, version.has_value());
        free += limit > used ? limit - used : 0;
    }
    return free;
}

void slot_allocator::acquire(const upstream_id &id, work_class work, time_point now)
{
    endClaim(id);
    m_rates.onSent(id, now);
    ++m_own[id].of(work);
    const auto found = m_failures.find(id);
    if (found != m_failures.end())
        found->second.onSent(now);
}

void slot_allocator::release(const upstream_id &id, work_class work)
{
    const auto found = m_own.find(id);
    if (found == m_own.end() || found->second.of(work) == 0)
        return;
    --found->second.of(work);
    if (found->second.total() == 0)
        m_own.erase(found);
}

void slot_allocator::onSuccess(const upstream_id &id, time_point now)
{
    const auto found = m_failures.find(id);
    if (found != m_failures.end())
        found->second.onSuccess(now);
}

void slot_allocator::onAnswer(const upstream_id &id)
{
    const auto found = m_failures.find(id);
    if (found != m_failures.end())
        found->second.onAnswer();
}

void slot_allocator::onFault(const upstream_id &id, attempt_fault fault, time_point now)
{
    m_failures.try_emplace(id, m_options.failures).first->second.onFault(fault, now);
}

std::size_t slot_allocator::failing(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_failures.begin(), m_failures.end(),
                      [now](const auto &entry) { return entry.second.failing(now); }));
}

std::vector<upstream_id> slot_allocator::ejected(time_point now) const
{
    std::vector<upstream_id> result;
    for (const auto &[id, failures] : m_failures) {
        if (failures.ejected(now))
            result.push_back(id);
    }
    return result;
}

void slot_allocator::tick(time_point now)
{
    std::erase_if(m_failures, [&](const auto &entry) {
        return !entry.second.ejected(now) && entry.second.score(now) < MinTrackedScore;
    });
    for (const upstream_id &id : m_claims.tick(now))
        release(id, work_class::Batch);
    dropOldReports(now);
}

void slot_allocator::onPeerUse(const vm_id &peer, std::unordered_map<upstream_id, slot_use> use,
                               std::set<upstream_id> ejected, time_point now)
{
    const auto previous = m_peers.find(peer);
    if (previous != m_peers.end())
        removeReport(previous->second);
    const auto current =
        m_peers.insert_or_assign(peer, peer_report{std::move(use), std::move(ejected), now});
    addReport(current.first->second);
}

std::vector<peer_batch_runs>
slot_allocator::peerBatchRuns(const group_id &group, const std::optional<software_version> &version,
                              time_point now) const
{
    std::vector<peer_batch_runs> runs;
    for (const auto &[peer, report] : m_peers) {
        for (const auto &[id, use] : report.use) {
            const live_upstream *upstream = use.batch > 0 ? m_directory.find(id) : nullptr;
            if (upstream != nullptr && usable(*upstream, group, version, now) && needsSlot(id, now))
                runs.push_back({peer, id, use.batch});
        }
    }
    return runs;
}

const distance_rule &slot_allocator::ruleFor(const live_upstream &upstream) const
{
    static constexpr distance_rule Near;
    if (upstream.zone != m_options.zone)
        return m_cell ? m_options.otherZoneOfCells : m_options.otherZone;
    return !m_cell || m_cell->contains(upstream.id) ? Near : m_options.otherCell;
}

void slot_allocator::addReport(const peer_report &report)
{
    for (const auto &[id, use] : report.use)
        m_peerTotals[id].used += use.total();
    for (const upstream_id &id : report.ejected)
        ++m_peerTotals[id].ejecting;
}

void slot_allocator::removeReport(const peer_report &report)
{
    const auto eraseIfEmpty = [&](const upstream_id &id) {
        const peer_totals &sum = m_peerTotals[id];
        if (sum.used == 0 && sum.ejecting == 0)
            m_peerTotals.erase(id);
    };
    for (const auto &[id, use] : report.use) {
        m_peerTotals[id].used -= use.total();
        eraseIfEmpty(id);
    }
    for (const upstream_id &id : report.ejected) {
        --m_peerTotals[id].ejecting;
        eraseIfEmpty(id);
    }
}

void slot_allocator::dropOldReports(time_point now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        const bool isOld = now - entry.second.lastReceivedAt >= m_options.peerUseLifetime;
        if (isOld)
            removeReport(entry.second);
        return isOld;
    });
}

// An upstream that has used up its rate counts as full for online requests. A batch item needs one
// request for many times the work, so it goes where slots are free but the rate is used up.
double slot_allocator::occupiedCost(const live_upstream &upstream, unsigned used, work_class work,
                                    time_point now) const
{
    if (work == work_class::Batch)
        return used;
    return std::max<double>(used, upstream.slots * m_rates.exhaustion(upstream.id, now));
}

bool slot_allocator::needsSlot(const upstream_id &id, time_point now) const
{
    const live_upstream *upstream = m_directory.find(id);
    return upstream != nullptr && m_directory.takesWork(*upstream)
           && usedSlots(id) >= capacity(*upstream, work_class::Online, false)
           && m_rates.maySend(id, work_class::Online, now);
}

bool slot_allocator::failsAll(const upstream_id &id, time_point now) const
{
    const auto found = m_failures.find(id);
    return found != m_failures.end() && found->second.failing(now);
}

double slot_allocator::failureCost(const upstream_id &id, time_point now) const
{
    const auto found = m_failures.find(id);
    double cost = found == m_failures.end() ? 0 : found->second.score(now) * m_options.failureCost;
    const auto sum = m_peerTotals.find(id);
    if (sum != m_peerTotals.end())
        cost += sum->second.ejecting * m_options.peerEjectionCost;
    return std::min(cost, m_options.maxFailureCost);
}

unsigned slot_allocator::usedSlots(const upstream_id &id) const
{
    const auto own = m_own.find(id);
    const auto sum = m_peerTotals.find(id);
    return (own == m_own.end() ? 0 : own->second.total()) - (m_claims.holds(id) ? 1 : 0)
           + (sum == m_peerTotals.end() ? 0 : sum->second.used);
}

bool slot_allocator::usable(const live_upstream &upstream, const group_id &group,
                            const std::optional<software_version> &version, time_point now) const
{
    if (!m_directory.takesWork(upstream) || upstream.group != group
        || (version && upstream.version != *version))
        return false;
    const auto found = m_failures.find(upstream.id);
    return found == m_failures.end() || !found->second.ejected(now);
}

unsigned slot_allocator::capacity(const live_upstream &upstream, work_class work, bool goesOn) const
{
    const unsigned kept = reserve(upstream, work, goesOn);
    return upstream.slots > kept ? upstream.slots - kept : std::min(upstream.slots, MinUsable);
}

unsigned slot_allocator::reserve(const live_upstream &upstream, work_class work, bool goesOn) const
{
    const bool mayUseReserve = goesOn && work == work_class::Online;
    const unsigned distanceReserve = mayUseReserve ? 0 : ruleFor(upstream).reserve;
    return work == work_class::Online ? distanceReserve : distanceReserve + m_options.batchReserve;
}

// Upstreams with more slots have some that are kept free, which take what is given away twice.
bool slot_allocator::isContended(const live_upstream &upstream, work_class work) const
{
    return work == work_class::Batch && !m_peers.empty()
           && upstream.slots <= reserve(upstream, work, false);
}

bool slot_allocator::mayTakeContended(const upstream_id &id, bool isFree, time_point now)
{
    const bool holds = m_claims.holds(id);
    if (isFree)
        return holds ? m_claims.use(id, now) : m_claims.mayBegin(id, now);
    if (holds)
        release(id, work_class::Batch);
    m_claims.onTaken(id, now);
    return false;
}

void slot_allocator::beginClaim(const upstream_id &id, time_point now)
{
    m_claims.begin(id, now);
    ++m_own[id].of(work_class::Batch);
}

void slot_allocator::endClaim(const upstream_id &id)
{
    if (!m_claims.holds(id))
        return;
    m_claims.end(id);
    release(id, work_class::Batch);
}

} // namespace tamarack
