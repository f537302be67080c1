// Schedules and runs batch items, and stores the records of their ends and failures.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/gateway/batch_runner.hpp>
#include <tamarackglade/gateway/join_ids.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t MaxStartsPerRound = 8; // per call of schedule()
// No items start from older folds, as an item may be finished or its job ended by now.
constexpr std::chrono::milliseconds MaxFoldAge{2'000};
constexpr std::chrono::seconds DefaultItemTimeout{60};
constexpr std::chrono::milliseconds MaxIdleTime{60'000}; // of a reused connection
constexpr std::chrono::seconds RecordTimeout{20}; // for the append of an item's end or failure
constexpr std::chrono::milliseconds ReadRetryPause{300};
// Pause after a run that failed before its first event; doubles with each one in a row.
constexpr std::chrono::milliseconds FirstFailurePause{250};
constexpr std::chrono::seconds MaxFailurePause{8};
constexpr unsigned SilenceFactor = 2; // items may be silent longer than online requests
constexpr unsigned UnprocessableContent = 422; // the upstream reports that no run can succeed

item_work workOf(const item_key &key, const customer_batch &job)
{
    const batch_job_item &item = job.items[key.item.value()];
    return {key,           request_id(item.id), job.customer,          job.host,
            job.retention, job.firstReadAt,     item.failedRuns.size()};
}

} // namespace

class batch_runner::output_sink final : public response_sink
{
public:
    output_sink(item_progress &progress, item_run &run, run_observer &observer,
                const live_upstream &upstream)
        : m_progress(progress), m_run(run), m_observer(observer), m_upstream(upstream)
    {
    }

    bool onHead(const http_response &, const response_metadata &) override { return true; }
    bool onEvent(const stream_event &event) override
    {
        if (!m_progress.origin)
            m_progress.origin = stream_origin{m_upstream.group, m_upstream.version, bootNow()};
        if (m_progress.lastEvent)
            m_progress.text.push_back('\n');
        m_progress.text += eventData(event.text);
        m_progress.lastEvent = event.id;
        ++m_run.events;
        m_observer.onEvent();
        return true;
    }
    bool onFlush() override { return !m_run.yielding; }

private:
    item_progress &m_progress;
    item_run &m_run;
    run_observer &m_observer;
    const live_upstream &m_upstream;
};

batch_runner::batch_runner(gateway_context &context, batch_store &store, gateway_list gateways,
                           std::function<void()> onYielded)
    : m_context(context), m_store(store), m_gateways(std::move(gateways)),
      m_onYielded(std::move(onYielded))
{
}

void batch_runner::schedule()
{
    removeFinished();
    const bool onlineWaits = m_context.blockingQueue.waiting() > 0 || m_peersWaiting;
    m_peersWaiting = false;
    if (m_stopped || onlineWaits || !m_context.config.activeConfig().current())
        return;
    const auto config = m_context.config.activeConfig().current();
    std::set<item_key> excluded = occupiedItems();
    excluded.merge(quarantinedItems(*config));
    const auto items =
        itemsToStart(m_store.folds(), m_context.options.vm, m_gateways(), begunItems(), excluded,
                     bootNow() - MaxFoldAge, bootNow(), MaxStartsPerRound);
    for (const item_key &key : items) {
        const customer_batch &job = *m_store.findJob(key.job);
        const forward_route *route = config->findRouteByName(job.routeName);
        if (route == nullptr) {
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
        const auto upstream = pickUpstream(work, route->groups.front().group,
                                           failedUpstreams(job.items[key.item.value()]));
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
    if (progress.origin && !canGoOn(*progress.origin, group))
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

bool batch_runner::canGoOn(const stream_origin &origin, const group_id &group) const
{
    return origin.isKnownFor(group)
           && m_context.directory.versionsOf(group).contains(origin.version);
}

void batch_runner::startOver(const item_work &work, const std::string &reason)
{
    item_progress &progress = m_progress[work.key];
    log_event(log_level::Info, "batch item starts over")
        .request(work.request.value())
        .with("job", work.key.job.value())
        .with("reason", reason)
        .with("version", progress.origin->version.value())
        .with("begun_ms_ago", toSeconds(bootNow() - progress.origin->begunAt) * 1000);
    progress.restart();
}

std::set<item_key> batch_runner::occupiedItems() const
{
    std::set<item_key> busy;
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

std::set<item_key> batch_runner::begunItems() const
{
    std::set<item_key> begun;
    for (const auto &[key, progress] : m_progress) {
        if (progress.origin)
            begun.insert(key);
    }
    return begun;
}

// Items past their retention are left out, so that they are abandoned.
std::set<item_key> batch_runner::quarantinedItems(const forward_config &config) const
{
    std::set<item_key> items;
    const time_point now = bootNow();
    if (m_context.quarantine.size() == 0)
        return items;
    for (const auto &[key, progress] : m_progress) {
        const customer_batch *job = m_store.findJob(key.job);
        const forward_route *route =
            job == nullptr ? nullptr : config.findRouteByName(job->routeName);
        if (route == nullptr || mustAbandon(*job, key.item.value(), now))
            continue;
        if (m_context.quarantine.check(route->groups.front().group, progress.sharedParts, now))
            items.insert(key);
    }
    return items;
}

bool batch_runner::contentReady(const item_key &key, const customer_batch &job)
{
    item_progress &progress = m_progress[key];
    if (progress.content)
        return true;
    if (!progress.reading) {
        progress.reading = true;
        boost::fibers::fiber([this, key, place = job.items[key.item.value()].content] {
            readContent(key, place);
        }).detach();
    }
    return false;
}

void batch_runner::readContent(const item_key &key, const content_place &place)
{
    const auto bytes = m_store.contents().read(place);
    auto content = bytes ? decodeBatchItem(*bytes) : std::nullopt;
    if (!content) {
        log_event(log_level::Warning, "content of a batch item not read")
            .with("job", key.job.value())
            .with("item", key.item.value());
        boost::this_fiber::sleep_for(ReadRetryPause);
    }
    const auto found = m_progress.find(key);
    if (found == m_progress.end())
        return;
    found->second.reading = false;
    if (!content)
        return;
    found->second.sharedParts = m_context.protocol.sharedPartsOf(*content);
    found->second.content = std::move(*content);
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
    if (candidate == nullptr)
        return false;
    candidate->yielding = true;
    candidate->handle.abort();
    return true;
}

void batch_runner::onPeersWaiting(std::size_t waiting,
                                  const std::optional<software_version> &version,
                                  std::size_t gateways)
{
    m_peersWaiting = m_peersWaiting || waiting > 0;
    const std::size_t share = (waiting + gateways - 1) / std::max<std::size_t>(gateways, 1);
    for (std::size_t i = 0; i < share && yieldOne(version); ++i) { }
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

void batch_runner::runItem(const item_work &work, const live_upstream &upstream,
                           const std::shared_ptr<item_run> &run)
{
    const time_point startedAt = bootNow();
    const attempt_result result = runAttempt(work, upstream, *run);
    run->holdsSlot = false;
    m_progress[work.key].writingTime += bootNow() - startedAt;
    m_runs.erase(work.key);
    log_event(log_level::Info, "batch item run ended")
        .request(work.request.value())
        .upstream(upstream.id.value())
        .with("job", work.key.job.value())
        .with("end", run->yielding ? "yielded to online work" : nameOf(result.outcome))
        .with("status", result.response.status)
        .with("reason", result.reason)
        .with("events", run->events)
        .with("version", upstream.version.value())
        .with("prompt_parts", joinIds(m_progress[work.key].sharedParts))
        .with("run_ms", toSeconds(bootNow() - startedAt) * 1000);
    if (run->yielding) {
        m_onYielded();
    } else {
        pauseAfterEarlyFailure(work.key, result, run->events);
        handleResult(work, upstream.id, result);
    }
    m_context.blockingQueue.release(upstream.id, work_class::Batch);
}

attempt_result batch_runner::runAttempt(const item_work &work, const live_upstream &upstream,
                                        item_run &run)
{
    item_progress &progress = m_progress[work.key];
    const time_point now = bootNow();
    const duration age = now - work.seenAt;
    const bool bounded = work.retention > age;
    attempt_limits limits;
    limits.deadline = now + (bounded ? work.retention - age : duration(DefaultItemTimeout));
    limits.silenceTimeout = m_context.options.silenceLimit * SilenceFactor;
    limits.maxIdleTime = MaxIdleTime;
    upstream_attempt message;
    message.upstream = upstream.id;
    message.customer = work.customer;
    message.timeLeft = limits.deadline - now;
    message.resumeAfter = progress.lastEvent;
    if (m_context.quarantine.beginRun(upstream.group, progress.sharedParts, now)) {
        attempt_result blocked;
        blocked.outcome = attempt_outcome::NotRun;
        blocked.reason = "prompt part quarantined";
        return blocked;
    }
    run_observer observer(m_context.quarantine, m_context.quarantineExchange, upstream,
                          progress.sharedParts, work.request);
    stream_progress events(progress.lastEvent);
    output_sink sink(progress, run, observer, upstream);
    attempt_result result = m_context.caller.run(
        upstream, m_context.protocol.encodeItem(work.host, *progress.content, message),
        work.request, true, limits, events, sink, run.handle);
    observer.onEnd(result);
    // An error response may be caused by the item. A single one does not eject the upstream.
    reportAttempt(m_context.allocator, upstream.id, result, bootNow());
    return result;
}

// The item itself may break its upstreams, so it isn't sent to one after the other without a pause.
void batch_runner::pauseAfterEarlyFailure(const item_key &key, const attempt_result &result,
                                          std::size_t events)
{
    item_progress &progress = m_progress[key];
    if (events > 0) {
        progress.earlyFailures = 0;
        return;
    }
    if (result.outcome != attempt_outcome::Broken && result.outcome != attempt_outcome::Silent)
        return;
    duration pause = FirstFailurePause;
    for (unsigned i = 0; i < progress.earlyFailures && pause < MaxFailurePause; ++i)
        pause *= 2;
    ++progress.earlyFailures;
    progress.startableAt = bootNow() + std::min<duration>(pause, MaxFailurePause);
}

void batch_runner::handleResult(const item_work &work, const upstream_id &upstream,
                                const attempt_result &result)
{
    if (result.outcome == attempt_outcome::Complete) {
        recordFinish(work, false, "");
        return;
    }
    if (result.outcome != attempt_outcome::Answered)
        return;
    if (result.response.status == UnprocessableContent)
        recordFinish(work, true, "the upstream can never do it");
    else
        recordFailure(work, upstream, result.response.status);
}

void batch_runner::recordFinish(const item_work &work, bool abandoned, const std::string &reason)
{
    log_event(log_level::Info, abandoned ? "batch item abandoned" : "batch item done")
        .request(work.request.value())
        .with("job", work.key.job.value())
        .with("failed_runs", work.failedRuns)
        .with("reason", reason);
    schema::item_finished_message record;
    record.job = work.key.job.value();
    record.item = work.key.item.value();
    record.abandoned = abandoned;
    std::string output = abandoned ? std::string() : m_progress[work.key].text;
    appendAsync(work, "", [this, work, record, output = std::move(output)](time_point deadline) {
        return storeFinishedItem(work, record, output, deadline);
    });
}

durable_result batch_runner::storeFinishedItem(const item_work &work,
                                               schema::item_finished_message record,
                                               const std::string &output, time_point deadline)
{
    if (!output.empty()) {
        const auto places = m_store.contents().append(work.customer, {output}, deadline);
        if (!places)
            return durable_result::NotStored;
        record.output = encodePlace(places->front());
    }
    return m_store.partitionOf(work.customer)
        .append({encodeBatchRecord(std::move(record))}, deadline);
}

void batch_runner::recordFailure(const item_work &work, const upstream_id &upstream,
                                 unsigned status)
{
    log_event(log_level::Info, "batch item failed")
        .request(work.request.value())
        .upstream(upstream.value())
        .with("job", work.key.job.value())
        .with("status", status)
        .with("failed_runs", work.failedRuns + 1);
    m_progress[work.key].restart();
    schema::item_failed_message record;
    record.job = work.key.job.value();
    record.item = work.key.item.value();
    record.run = randomId("run_");
    record.upstream = upstream.value();
    const std::string run = record.run;
    appendAsync(work, run, [this, work, record](time_point deadline) {
        return m_store.partitionOf(work.customer).append({encodeBatchRecord(record)}, deadline);
    });
}

// The item is not started again until the fold contains the record or storing it has failed.
void batch_runner::appendAsync(const item_work &work, const std::string &failedRun,
                               std::function<durable_result(time_point deadline)> append)
{
    m_pendingRecords.insert_or_assign(work.key, failedRun);
    boost::fibers::fiber([this, work, append = std::move(append)] {
        if (append(bootNow() + RecordTimeout) == durable_result::Stored)
            return;
        log_event(log_level::Warning, "record of a batch item not stored")
            .request(work.request.value())
            .customer(work.customer.value())
            .with("job", work.key.job.value());
        m_pendingRecords.erase(work.key);
    }).detach();
}

void batch_runner::removeFinished()
{
    const auto finished = [&](const item_key &key) {
        const customer_batch *job = m_store.findJob(key.job);
        return job == nullptr || !job->open()
               || job->items[key.item.value()].state != batch_item_state::Waiting;
    };
    std::erase_if(m_pendingRecords, [&](const auto &entry) {
        const auto &[key, failedRun] = entry;
        return finished(key)
               || m_store.findJob(key.job)->items[key.item.value()].failedRuns.contains(failedRun);
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
