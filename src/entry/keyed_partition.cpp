// Connects the keyed call tracker with the partition's stream.
#include <tamarackglade/calls/make_call_error.hpp>
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/entry/keyed_partition.hpp>
#include <tamarackglade/entry/read_batch.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <mutex>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds ClaimTimeout{1'000};
constexpr std::chrono::milliseconds ClaimPollInterval{50};
constexpr std::chrono::milliseconds FoldTimeout{2'000};
constexpr std::chrono::milliseconds FinishTimeout{1'000};
constexpr std::chrono::milliseconds LogRetryDelay{5'000};
constexpr std::size_t MaxKeptBodyBytes = 16 * 1024; // bytes

const schema::call_finished_message *findFinished(const schema::log_batch_message &batch,
                                                  const std::string &callId)
{
    for (const auto &record : batch.records) {
        const auto *finished = record->body.Ascall_finished();
        if (finished != nullptr && finished->call_id == callId)
            return finished;
    }
    return nullptr;
}

} // namespace

keyed_partition::keyed_partition(io_thread &thread, platform_client &platform,
                                 metric_registry &metrics, partition_id partition)
    : m_thread(thread), m_platform(platform), m_stream(callStreamName(partition)),
      m_tracker(m_index, randomId("call_"), ClaimTimeout, MaxKeptBodyBytes),
      m_appender(thread, platform, metrics, m_stream, "calls")
{
}

keyed_verdict keyed_partition::claim(const keyed_request &request)
{
    startTail();
    const bool logAvailable = foldToEnd();
    auto verdict = m_waiting[request.id.value()].get_future();
    perform(m_tracker.onRequest(request, logAvailable, steadyNow()));
    while (verdict.wait_for(ClaimPollInterval) != boost::fibers::future_status::ready)
        perform(m_tracker.tick(steadyNow()));
    keyed_verdict result = verdict.get();
    if (auto *replay = std::get_if<replay_answer>(&result))
        return withStoredBody(std::move(*replay));
    return result;
}

void keyed_partition::finish(const request_id &request, const keyed_answer &answer)
{
    const http_response &response = answer.response;
    const std::uint64_t last = perform(
        m_tracker.onCallEnded(request, answer.ran, static_cast<std::uint16_t>(response.status),
                              response.contentType, {response.body.begin(), response.body.end()}));
    m_appender.waitUntilStored(last, FinishTimeout);
}

void keyed_partition::startTail()
{
    if (m_tailer)
        return;
    tail_handler handler;
    handler.onRead = [this](const log_read &read, bool caughtUp) { onRead(read, caughtUp); };
    handler.onGap = [this](log_offset firstRetained) { onGap(firstRetained); };
    handler.onReachable = [this](bool reachable) {
        m_reachable = reachable;
        m_folded.notify_all();
    };
    m_tailer =
        std::make_unique<log_tailer>(m_thread, m_platform, m_stream, m_next, std::move(handler));
}

void keyed_partition::onRead(const log_read &read, bool caughtUp)
{
    m_index.trim(read.firstRetained);
    for (const log_entry &entry : read.entries)
        applyEntry(entry);
    m_caughtUp = m_caughtUp || caughtUp;
    perform(m_tracker.onFolded(steadyNow()));
    m_folded.notify_all();
}

void keyed_partition::onGap(log_offset firstRetained)
{
    m_next = firstRetained;
    m_index.trim(firstRetained);
}

void keyed_partition::applyEntry(const log_entry &entry)
{
    m_next = log_offset(entry.offset.value() + 1);
    const auto batch = decodeBatch(entry.payload);
    if (!batch.ok())
        return;
    for (const auto &record : batch->records) {
        if (const auto *started = record->body.Ascall_started()) {
            m_index.apply(*started, entry.offset);
        } else if (auto *finished = record->body.Ascall_finished()) {
            finished->body.clear();
            m_index.apply(*finished, entry.offset);
        }
    }
}

bool keyed_partition::foldToEnd()
{
    const time_point deadline = steadyNow() + FoldTimeout;
    waitForFold(deadline, [this] { return m_caughtUp || !m_reachable; });
    if (!m_caughtUp)
        return false;
    const auto end = m_platform.read(m_stream, m_next, 1, std::chrono::milliseconds(0));
    if (!end.ok())
        return false;
    m_index.trim(end->firstRetained);
    return waitForFold(deadline, [&] { return m_next >= end->next; });
}

bool keyed_partition::waitForFold(time_point deadline, const std::function<bool()> &reached)
{
    std::unique_lock lock(m_mutex);
    return m_folded.wait_for(lock, deadline - steadyNow(), reached);
}

std::uint64_t keyed_partition::perform(keyed_actions actions)
{
    std::uint64_t last = 0;
    for (keyed_action &action : actions) {
        if (auto *started = std::get_if<append_started>(&action))
            last = m_appender.add(std::move(started->record));
        else if (auto *finished = std::get_if<append_finished>(&action))
            last = m_appender.add(std::move(finished->record));
        else if (const auto *run = std::get_if<run_keyed>(&action))
            settle(run->request, *run);
        else if (const auto *replay = std::get_if<replay_answer>(&action))
            settle(replay->request, *replay);
        else if (const auto *end = std::get_if<caller_end>(&action))
            settle(end->request, *end->error);
    }
    return last;
}

void keyed_partition::settle(const request_id &request, keyed_verdict verdict)
{
    auto node = m_waiting.extract(request.value());
    if (!node.empty())
        node.mapped().set_value(std::move(verdict));
}

keyed_verdict keyed_partition::withStoredBody(replay_answer replay)
{
    const auto unreadable =
        makeCallError(call_failure::LogUnavailable, execution::Yes, LogRetryDelay);
    const auto batch = readBatch(m_platform, m_stream, replay.answered.finishedOffset);
    if (!batch.ok())
        return unreadable;
    const auto *finished = findFinished(*batch, replay.answered.callId);
    if (finished == nullptr)
        return unreadable;
    replay.answered.body = finished->body;
    return replay;
}

} // namespace tamarack
