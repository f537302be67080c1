// Orders and refuses waiting requests, and estimates their wait.
#include <tamarackglade/placement/slot_queue.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// Finished requests are counted over this window for the expected wait.
constexpr std::chrono::milliseconds RateWindow{500};
// Waiters that are passed over in a round, as all free slots are at upstreams that they exclude.
constexpr std::size_t MaxPassedOver = 8;
constexpr double MinRate = 8.0; // slots per second; assumed if fewer requests finished

} // namespace

std::optional<upstream_id> slot_queue::tryAcquire(const placement_request &placement,
                                                  time_point now)
{
    if (othersWait(placement))
        return std::nullopt;
    return pickFor(placement, now);
}

std::optional<waiter_id> slot_queue::enqueue(const slot_request &request, time_point now)
{
    if (now + expectedWaitBehind(countAhead(request), now) > request.latestStart)
        return std::nullopt;
    return enqueueUnchecked(request);
}

waiter_id slot_queue::enqueueUnchecked(const slot_request &request)
{
    const waiter_id id(++m_lastWaiter);
    m_waiting.emplace(id, waiter{request});
    m_levels[levelOf(request)].push(request.customer, 1, id);
    return id;
}

void slot_queue::remove(waiter_id id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return;
    const slot_request &request = found->second.request;
    const auto level = m_levels.find(levelOf(request));
    if (level != m_levels.end() && level->second.remove(request.customer, id)
        && level->second.empty())
        m_levels.erase(level);
    m_waiting.erase(found);
}

std::vector<granted_slot> slot_queue::grant(time_point now)
{
    std::vector<granted_slot> granted;
    for (auto level = m_levels.begin(); level != m_levels.end();) {
        grantLevel(level->first, level->second, granted, now);
        level = level->second.empty() ? m_levels.erase(level) : std::next(level);
    }
    return granted;
}

void slot_queue::grantLevel(const level_key &key, fair_queue<waiter_id> &level,
                            std::vector<granted_slot> &granted, time_point now)
{
    const auto version = key.isNew ? std::nullopt : std::optional(key.version);
    std::vector<waiter_id> passedOver;
    while (!level.empty() && passedOver.size() < MaxPassedOver
           && m_allocator.freeSlots(key.group, work_class::Online, now, version) > 0) {
        const waiter_id id = *level.pop();
        const slot_request &request = m_waiting.at(id).request;
        const auto upstream = pickFor(request.placement, now);
        if (!upstream) {
            passedOver.push_back(id);
            continue;
        }
        m_waiting.erase(id);
        granted.push_back({id, *upstream});
    }
    for (const waiter_id id : passedOver)
        level.push(m_waiting.at(id).request.customer, 1, id);
}

std::vector<waiter_id> slot_queue::expire(time_point now)
{
    std::vector<waiter_id> expired;
    for (const auto &[id, entry] : m_waiting) {
        if (now > entry.request.latestStart)
            expired.push_back(id);
    }
    for (const waiter_id id : expired)
        remove(id);
    return expired;
}

void slot_queue::onFinished(time_point now)
{
    m_finishedAt.push_back(now);
    while (now - m_finishedAt.front() > RateWindow)
        m_finishedAt.pop_front();
}

duration slot_queue::expectedWait(time_point now) const
{
    return expectedWaitBehind(m_waiting.size(), now);
}

duration slot_queue::expectedWaitBehind(std::size_t ahead, time_point now) const
{
    const auto recent = std::count_if(m_finishedAt.begin(), m_finishedAt.end(),
                                      [&](time_point at) { return now - at <= RateWindow; });
    const double rate = std::max(MinRate, static_cast<double>(recent) / toSeconds(RateWindow));
    return fromSeconds(static_cast<double>(ahead + 1) / rate);
}

std::vector<waiting_work> slot_queue::waitingWork() const
{
    std::vector<waiting_work> work;
    for (const auto &[key, level] : m_levels)
        work.push_back(
            {key.group, key.isNew ? std::nullopt : std::optional(key.version), level.size()});
    std::stable_partition(work.begin(), work.end(),
                          [](const waiting_work &each) { return each.version.has_value(); });
    return work;
}

bool slot_queue::othersWait(const placement_request &placement) const
{
    return std::any_of(m_levels.begin(), m_levels.end(), [&](const auto &entry) {
        const level_key &key = entry.first;
        return key.group == placement.group && key.isNew == !placement.version
               && (key.isNew || key.version == *placement.version);
    });
}

// Counts the requests of the group with a higher priority, and those of the same priority that are
// served earlier. A request with a version counts those that wait for the same one.
std::size_t slot_queue::countAhead(const slot_request &request) const
{
    const level_key own = levelOf(request);
    std::size_t ahead = 0;
    for (const auto &[key, level] : m_levels) {
        const bool competes = own.isNew || (!key.isNew && key.version == own.version);
        if (key.group != own.group || key.priority > own.priority || !competes)
            continue;
        ahead += key == own ? level.aheadOfNew(request.customer) : level.size();
    }
    return ahead;
}

slot_queue::level_key slot_queue::levelOf(const slot_request &request)
{
    const auto &version = request.placement.version;
    return {request.priority, !version, request.placement.group,
            version.value_or(software_version())};
}

std::optional<upstream_id> slot_queue::pickFor(const placement_request &placement, time_point now)
{
    auto upstream = m_allocator.pick(placement, now);
    if (upstream)
        m_allocator.acquire(*upstream, placement.work, now);
    return upstream;
}

} // namespace tamarack
