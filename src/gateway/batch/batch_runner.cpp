// Selects the batch items to run and their upstreams, and makes items yield their slots.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/core/doubling_pause.hpp>
#include <tamarackglade/gateway/batch/batch_runner.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/placement/group_selection.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t MaxStartsPerRound = 8; // of each group, per call of schedule()
// No items start from older folds, as an item may be finished or its job ended by now.
constexpr std::chrono::milliseconds MaxFoldAge{2'000};
// Pause after a failed read of an item's content. The item counts as occupied during the pause,
// because the list of items to start is bounded.
constexpr std::chrono::milliseconds FirstReadPause{300};
constexpr std::chrono::seconds MaxReadPause{8};

item_work workOf(const batch_item_key &key, const customer_batch &job)
{
    const batch_job_item &item = job.items[key.item.value()];
    return {key,           request_id(item.id), job.host,
            job.retention, job.firstReadAt,     item.failedRuns.size()};
}

} // namespace

batch_runner::batch_runner(gateway_context &context, batch_store &store, gateway_list gateways,
                           std::function<void()> onYielded)
    : m_context(context), m_store(store), m_gateways(std::move(gateways)),
      m_onYielded(std::move(onYielded)), m_textBytes(memorySharesOf(context.options).texts),
      m_owners(context.options.vm)
{
}

void batch_runner::schedule()
{
    removeFinished();
    const bool onlineWaits = m_context.blockingQueue.waiting() > 0 || bootNow() < m_peersWaitUntil;
    if (m_stopped || onlineWaits || !m_context.config.activeConfig().current())
        return;
    const auto config = m_context.config.activeConfig().current();
    std::set<batch_item_key> excluded = occupiedItems();
    excluded.merge(quarantinedItems(*config));
    m_owners.setGateways(m_gateways());
    const auto items = itemsToStart(m_store.folds(), m_owners, groupsIn(*config), begunItems(),
                                    excluded, bootNow() - MaxFoldAge, bootNow(), MaxStartsPerRound);
    for (const batch_item_key &key : items) {
        const customer_batch &job = *m_store.findJob(key.batch);
        const forward_route *route = config->findRouteByName(job.routeName);
        if (route == nullptr) {
            if (routeWasRemoved(job, m_context.config.activeConfig().confirmedAt()))
                recordFinish(workOf(key, job), true, "route removed");
            continue;
        }
        if (mustAbandon(job, key.item.value(), bootNow())) {
            recordFinish(workOf(key, job), true, "failed too often or too old");
            continue;
        }
        if (!contentReady(key, job))
            continue;
        const item_work work = workOf(key, job);
        const batch_job_item &item = job.items[key.item.value()];
        const auto upstream = pickUpstream(work, groupOf(*route, key, item), failedUpstreams(item));
        if (upstream)
            start(work, *upstream);
    }
}

std::optional<upstream_id> batch_runner::pickUpstream(const item_work &work, const group_id &group,
                                                      std::set<upstream_id> failedAt)
{
    item_progress &progress = m_progress[work.key];
    const time_point now = bootNow();
    placement_request request;
    request.group = group;
    request.work = work_class::Batch;
    request.excluded = std::move(failedAt);
    if (progress.origin && !canGoOn(*progress.origin, group, group))
        startOver(work, "no upstream of its version");
    if (!progress.origin)
        return m_context.allocator.pick(request, now);
    request.version = progress.origin->version;
    auto upstream = m_context.allocator.pick(request, now);
    if (upstream) {
        progress.waitsSince.reset();
        return upstream;
    }
    progress.waitsSince = progress.waitsSince.value_or(now);
    if (now - *progress.waitsSince <= progress.writingTime)
        return std::nullopt;
    request.version.reset();
    upstream = m_context.allocator.pick(request, now);
    if (upstream)
        startOver(work, "no slot at its version");
    return upstream;
}

// Items of a route that the configuration lacks are listed under an empty group.
item_groups batch_runner::groupsIn(const forward_config &config) const
{
    item_groups groups;
    groups.ofJob = [&config](const customer_batch &job) {
        std::vector<group_id> ids;
        if (const forward_route *route = config.findRouteByName(job.routeName)) {
            for (const weighted_group &each : route->groups)
                ids.push_back(each.group);
        }
        return ids.empty() ? std::vector<group_id>(1) : ids;
    };
    groups.ofItem = [this, &config](const customer_batch &job, const batch_item_key &key) {
        const forward_route *route = config.findRouteByName(job.routeName);
        return route == nullptr ? group_id() : groupOf(*route, key, job.items[key.item.value()]);
    };
    return groups;
}

// A text goes on in its group while the route leads there and upstreams may go on with it.
group_id batch_runner::groupOf(const forward_route &route, const batch_item_key &key,
                               const batch_job_item &item) const
{
    const time_point now = bootNow();
    const auto progress = m_progress.find(key);
    const group_id &selected = selectGroup(route.groups, request_id(item.id), m_context.allocator,
                                           failedUpstreams(item), now);
    if (progress == m_progress.end() || !progress->second.origin)
        return selected;
    const stream_origin &origin = *progress->second.origin;
    const bool leadsThere =
        std::any_of(route.groups.begin(), route.groups.end(),
                    [&](const weighted_group &each) { return each.group == origin.group; });
    return leadsThere && canGoOn(origin, origin.group, selected) ? origin.group : selected;
}

// Upstreams that fail all they get may be back soon, so a text is only discarded for others.
bool batch_runner::canGoOn(const stream_origin &origin, const group_id &group,
                           const group_id &other) const
{
    const time_point now = bootNow();
    return origin.isKnownFor(group)
           && m_context.directory.versionsOf(group).contains(origin.version)
           && (!m_context.allocator.isFailing(group, origin.version, now)
               || !m_context.allocator.takesWork(other, {}, now));
}

void batch_runner::startOver(const item_work &work, const std::string &reason)
{
    item_progress &progress = m_progress[work.key];
    log_event(log_level::Info, "batch item starts over")
        .request(work.request.value())
        .with("job", work.key.batch.job.value())
        .with("reason", reason)
        .with("version", progress.origin->version.value())
        .with("begun_ms_ago", toSeconds(bootNow() - progress.origin->begunAt) * 1000);
    progress.restart();
}

std::set<batch_item_key> batch_runner::occupiedItems() const
{
    std::set<batch_item_key> busy;
    for (const auto &[key, run] : m_runs)
        busy.insert(key);
    for (const auto &[key, failedRun] : m_pendingRecords)
        busy.insert(key);
    const time_point now = bootNow();
    for (const auto &[key, progress] : m_progress) {
        if (now < progress.startableAt)
            busy.insert(key);
    }
    return busy;
}

std::set<batch_item_key> batch_runner::begunItems() const
{
    std::set<batch_item_key> begun;
    for (const auto &[key, progress] : m_progress) {
        if (progress.origin)
            begun.insert(key);
    }
    return begun;
}

// Items past their retention are left out, so that they are abandoned.
std::set<batch_item_key> batch_runner::quarantinedItems(const forward_config &config) const
{
    std::set<batch_item_key> items;
    const time_point now = bootNow();
    if (m_context.quarantine.size() == 0)
        return items;
    for (const auto &[key, progress] : m_progress) {
        const customer_batch *job = m_store.findJob(key.batch);
        const forward_route *route =
            job == nullptr ? nullptr : config.findRouteByName(job->routeName);
        if (route == nullptr || mustAbandon(*job, key.item.value(), now))
            continue;
        const batch_job_item &item = job->items[key.item.value()];
        if (m_context.quarantine.check(groupOf(*route, key, item), progress.sharedParts, now))
            items.insert(key);
    }
    return items;
}

bool batch_runner::contentReady(const batch_item_key &key, const customer_batch &job)
{
    item_progress &progress = m_progress[key];
    if (progress.content)
        return true;
    if (!progress.reading) {
        progress.reading = true;
        boost::fibers::fiber([this, key, place = job.items[key.item.value()].content,
                              customer = job.id.customer] {
            readContent(key, place, customer);
        }).detach();
    }
    return false;
}

void batch_runner::readContent(const batch_item_key &key, const content_place &place,
                               const customer_id &customer)
{
    const auto bytes = m_store.contents().read(place);
    auto content = bytes ? decodeBatchItem(*bytes) : std::nullopt;
    if (!content) {
        log_event(log_level::Warning, "content of a batch item not read")
            .with("job", key.batch.job.value())
            .with("item", key.item.value());
    }
    const auto found = m_progress.find(key);
    if (found == m_progress.end())
        return;
    item_progress &progress = found->second;
    progress.reading = false;
    if (!content) {
        progress.startableAt =
            bootNow() + doublingPause(FirstReadPause, MaxReadPause, progress.failedReads++);
        return;
    }
    progress.sharedParts = m_context.protocol.sharedPartsOf(*content);
    const std::string_view body(reinterpret_cast<const char *>(content->body.data()),
                                content->body.size());
    progress.fingerprint = fingerprintOf(customer, content->path, body);
    progress.content = std::move(*content);
}

bool batch_runner::yieldOne(const std::optional<software_version> &version)
{
    item_run *candidate = nullptr;
    const time_point now = bootNow();
    for (const auto &[key, run] : m_runs) {
        if (!run->yielding && run->holdsSlot && (!version || run->version == *version)
            && m_context.allocator.needsSlot(run->upstream, now)
            && (candidate == nullptr || run->events < candidate->events))
            candidate = run.get();
    }
    return yield(candidate);
}

bool batch_runner::yieldAt(const upstream_id &upstream)
{
    item_run *candidate = nullptr;
    for (const auto &[key, run] : m_runs) {
        if (!run->yielding && run->holdsSlot && run->upstream == upstream
            && (candidate == nullptr || run->events < candidate->events))
            candidate = run.get();
    }
    return yield(candidate);
}

bool batch_runner::yield(item_run *run)
{
    if (run == nullptr)
        return false;
    run->yielding = true;
    run->handle.abort();
    return true;
}

void batch_runner::start(const item_work &work, const upstream_id &upstreamId)
{
    const live_upstream *upstream = m_context.directory.find(upstreamId);
    if (upstream == nullptr)
        return;
    auto run = std::make_shared<item_run>();
    run->upstream = upstreamId;
    run->version = upstream->version;
    m_runs.emplace(work.key, run);
    m_context.allocator.acquire(upstreamId, work_class::Batch, bootNow());
    boost::fibers::fiber([this, work, upstream = *upstream, run] {
        runItem(work, upstream, run);
    }).detach();
}

void batch_runner::removeFinished()
{
    const auto finished = [&](const batch_item_key &key) {
        const customer_batch *job = m_store.findJob(key.batch);
        return job == nullptr || !job->open() || key.item.value() >= job->items.size()
               || job->items[key.item.value()].state != batch_item_state::Waiting;
    };
    std::erase_if(m_pendingRecords, [&](const auto &entry) {
        const auto &[key, failedRun] = entry;
        return finished(key)
               || m_store.findJob(key.batch)->items[key.item.value()].failedRuns.contains(
                   failedRun);
    });
    std::erase_if(m_progress, [&](const auto &entry) {
        return !m_runs.contains(entry.first) && finished(entry.first);
    });
    for (const auto &[key, run] : m_runs) {
        if (finished(key) && !run->yielding) {
            run->yielding = true;
            run->handle.abort();
        }
    }
}

} // namespace tamarack
