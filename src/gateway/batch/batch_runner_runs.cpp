// Runs batch items at upstreams and decides what follows from the results.
#include <tamarackglade/core/doubling_pause.hpp>
#include <tamarackglade/gateway/batch/batch_runner.hpp>
#include <tamarackglade/gateway/relay/join_ids.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::seconds DefaultItemTimeout{60};
constexpr std::chrono::milliseconds MaxIdleTime{60'000}; // of a reused connection
// Pause after a run that failed before its first event; doubles with each one in a row.
constexpr std::chrono::milliseconds FirstFailurePause{250};
constexpr std::chrono::seconds MaxFailurePause{8};
constexpr unsigned MaxEmptyResumes = 3; // in a row, before a text is written anew
// A text that grows is copied to twice its size, and once more when it is stored.
constexpr std::size_t TextCopies = 3;
constexpr unsigned SilenceFactor = 2; // items may be silent longer than online requests
constexpr unsigned UnprocessableContent = 422; // the upstream reports that no run can succeed

} // namespace

class batch_runner::output_sink final : public response_sink
{
public:
    output_sink(item_progress &progress, item_run &run, run_observer &observer,
                gateway_context &context, const live_upstream &upstream, byte_quota &texts,
                std::function<bool()> hasOtherSlot)
        : m_progress(progress), m_run(run), m_observer(observer), m_context(context),
          m_upstream(upstream), m_version(upstream.version), m_texts(texts),
          m_hasOtherSlot(std::move(hasOtherSlot))
    {
    }

    /// @return whether the process has no room for the item's text
    [[nodiscard]] bool isTooLong() const { return m_isTooLong; }

    void onUnknownStart() override
    {
        m_version = software_version();
        m_context.upstreams.refreshSoon();
    }
    // A silent run may still end properly, so it goes on until another upstream has a free slot.
    bool onSilence() override { return m_hasOtherSlot(); }
    bool onHead(const http_response &, const response_metadata &) override { return true; }
    bool onEvent(const stream_event &event) override
    {
        if (!hasContent(event))
            return true;
        if (!m_progress.origin)
            m_progress.origin = originOfText();
        const std::string data = eventData(event.text);
        if (!reserveText(data.size() + 1))
            return false;
        if (m_progress.lastEvent)
            m_progress.text.push_back('\n');
        m_progress.text += data;
        m_progress.lastEvent = event.id ? event.id : m_progress.lastEvent;
        m_progress.emptyResumes = 0;
        if (m_run.events == 0)
            m_context.allocator.onAnswer(m_run.upstream);
        ++m_run.events;
        m_observer.onEvent();
        return true;
    }
    bool onFlush() override { return !m_run.yielding; }

private:
    bool reserveText(std::size_t moreBytes)
    {
        if (!m_progress.textShare)
            m_progress.textShare = std::make_unique<byte_quota::share>(m_texts);
        m_isTooLong = !m_progress.textShare->set((m_progress.text.size() + moreBytes) * TextCopies);
        return !m_isTooLong;
    }

    [[nodiscard]] stream_origin originOfText() const
    {
        const time_point now = bootNow();
        const bool isKnown = !m_version.value().empty();
        return {m_upstream.group,
                isKnown ? m_version : m_context.directory.versionSince(m_upstream, now), now};
    }

    item_progress &m_progress;
    item_run &m_run;
    run_observer &m_observer;
    gateway_context &m_context;
    const live_upstream m_upstream; // as it was known when the run began
    software_version m_version; // empty if unknown
    byte_quota &m_texts;
    const std::function<bool()> m_hasOtherSlot;
    bool m_isTooLong = false;
};

void batch_runner::runItem(const item_work &work, const live_upstream &upstream,
                           const std::shared_ptr<item_run> &run)
{
    const time_point startedAt = bootNow();
    const attempt_result result = runAttempt(work, upstream, *run);
    run->holdsSlot = false;
    m_progress[work.key].writingTime += bootNow() - startedAt;
    m_runs.erase(work.key);
    logRunEnd(work, upstream, *run, result, bootNow() - startedAt);
    if (!run->yielding) {
        pauseAfterEarlyFailure(work, result, run->events);
        handleResult(work, upstream.id, result);
    }
    m_context.blockingQueue.release(upstream.id, work_class::Batch);
    if (run->yielding)
        m_onYielded();
}

void batch_runner::logRunEnd(const item_work &work, const live_upstream &upstream,
                             const item_run &run, const attempt_result &result, duration time)
{
    log_event line(log_level::Info, "batch item run ended");
    line.request(work.request.value())
        .upstream(upstream.id.value())
        .with("job", work.key.batch.job.value())
        .with("end", run.yielding ? "yielded to online work" : nameOf(result.outcome))
        .with("status", result.response.status)
        .with("reason", result.reason)
        .with("events", run.events)
        .with("version", upstream.version.value())
        .with("prompt_parts", joinIds(m_progress[work.key].sharedParts))
        .with("run_ms", toSeconds(time) * 1000);
    addEvidence(line, result.evidence, work.request);
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
    if (!m_context.directory.isCurrent(now))
        limits.startCheck = progress.origin ? start_check::Required : start_check::Wanted;
    upstream_attempt message;
    message.upstream = upstream.id;
    message.customer = work.key.batch.customer;
    message.timeLeft = limits.deadline - now;
    message.resumeAfter = progress.lastEvent;
    if (m_context.quarantine.beginRun(upstream.group, progress.sharedParts, now)) {
        attempt_result blocked;
        blocked.outcome = attempt_outcome::NotRun;
        blocked.reason = "prompt part quarantined";
        return blocked;
    }
    run_observer observer(m_context.quarantine, m_context.requestQuarantine,
                          m_context.quarantineExchange, upstream,
                          {progress.sharedParts, progress.fingerprint, true});
    stream_progress events(progress.lastEvent);
    if (progress.isUnfinished)
        events.setUnfinished();
    output_sink sink(progress, run, observer, m_context, upstream, m_textBytes,
                     [&] { return hasOtherSlot(work, upstream); });
    attempt_result result = m_context.caller.run(
        upstream, m_context.protocol.encodeItem(work.host, *progress.content, message),
        work.request, true, limits, events, sink, run.handle);
    // A success that is no stream is neither the item's text nor a failure of the item.
    if (result.outcome == attempt_outcome::Answered && isSuccess(result.response.status))
        result.outcome = attempt_outcome::Broken;
    progress.isUnfinished = events.isUnfinished();
    if (sink.isTooLong())
        discardLongText(work, result);
    observer.onEnd(result);
    // An error response may be caused by the item. A single one does not eject the upstream.
    reportAttempt(m_context.allocator, upstream.id, result, bootNow());
    return result;
}

// Any group of the route counts. The text is kept in its own group only.
bool batch_runner::hasOtherSlot(const item_work &work, const live_upstream &upstream)
{
    const customer_batch *job = m_store.findJob(work.key.batch);
    const auto config = m_context.config.activeConfig().current();
    const forward_route *route =
        job == nullptr || !config ? nullptr : config->findRouteByName(job->routeName);
    if (route == nullptr)
        return true;
    placement_request request;
    request.work = work_class::Batch;
    request.excluded.insert(upstream.id);
    request.onlyOthers = true;
    const item_progress &progress = m_progress[work.key];
    return std::any_of(route->groups.begin(), route->groups.end(), [&](const auto &each) {
        request.group = each.group;
        request.version.reset();
        if (progress.origin && each.group == progress.origin->group)
            request.version = progress.origin->version;
        return each.weight > 0 && m_context.allocator.pick(request, bootNow()).has_value();
    });
}

void batch_runner::discardLongText(const item_work &work, attempt_result &result)
{
    item_progress &progress = m_progress[work.key];
    startOver(work, "its text exceeds the memory for texts");
    progress.startableAt =
        bootNow() + doublingPause(FirstFailurePause, MaxFailurePause, progress.longTexts++);
    result.outcome = attempt_outcome::Broken;
    result.reason = "the text exceeds the memory for texts";
}

// The item itself may break its upstreams, so it isn't sent to one after the other without a pause.
void batch_runner::pauseAfterEarlyFailure(const item_work &work, const attempt_result &result,
                                          std::size_t events)
{
    item_progress &progress = m_progress[work.key];
    if (events > 0) {
        progress.earlyFailures = 0;
        return;
    }
    if (result.outcome != attempt_outcome::Broken && result.outcome != attempt_outcome::Silent)
        return;
    progress.startableAt =
        bootNow() + doublingPause(FirstFailurePause, MaxFailurePause, progress.earlyFailures++);
    // Nothing may be left of the text, without a response that shows so.
    if (result.endedWithoutEvent && ++progress.emptyResumes >= MaxEmptyResumes && progress.origin)
        startOver(work, "its resumes got no event");
}

void batch_runner::handleResult(const item_work &work, const upstream_id &upstream,
                                const attempt_result &result)
{
    if (result.outcome == attempt_outcome::Complete) {
        recordFinish(work, false, "");
        return;
    }
    if (result.isUnsendable)
        recordFinish(work, true, "its request can't be written");
    if (result.outcome != attempt_outcome::Answered)
        return;
    if (result.response.status == UnprocessableContent)
        recordFinish(work, true, "the upstream can never do it");
    else
        recordFailure(work, upstream, result.response.status);
}

} // namespace tamarack
