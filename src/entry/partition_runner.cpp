// Reads a partition's stream, claims the partition and executes its owner's actions.
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/entry/partition_runner.hpp>
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/snapshot_finder.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace tamarack {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds LoadRetryInterval{500};
constexpr std::chrono::minutes ItemTimeout{10};
constexpr std::size_t MaxReadRecords = 500; // per read

// Returns one line of a chunk, without its line end.
std::string lineOf(const std::vector<std::uint8_t> &chunk, std::uint32_t line)
{
    std::string_view text(reinterpret_cast<const char *>(chunk.data()), chunk.size());
    for (std::uint32_t i = 0; i < line; ++i) {
        const auto end = text.find('\n');
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return std::string(text.substr(0, text.find('\n')));
}

std::string responseJson(const batch_answer &answer, const std::string &requestId)
{
    json response;
    response["status_code"] = answer.status;
    response["request_id"] = requestId;
    response["body"] = parseJson(answer.body);
    if (response["body"].is_discarded())
        response["body"] = answer.body;
    return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool isRejection(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned TooManyRequests = 429;
    return status >= 400 && status < 500 && status != RequestTimeout && status != TooManyRequests;
}

attempt_outcome outcomeOf(const batch_answer &answer)
{
    switch (answer.outcome) {
    case schema::call_outcome::Complete:
        break;
    case schema::call_outcome::NotStarted:
        return attempt_outcome::NotStarted;
    case schema::call_outcome::Cancelled:
        return attempt_outcome::Cancelled;
    case schema::call_outcome::Failed:
    case schema::call_outcome::Unknown:
        return attempt_outcome::WorkerLost;
    }
    if (answer.status == 200)
        return attempt_outcome::Succeeded;
    return isRejection(answer.status) ? attempt_outcome::Rejected : attempt_outcome::Transient;
}

append_outcome outcomeOf(const absl::StatusOr<log_offset> &stored)
{
    if (stored.ok())
        return append_outcome::Ok;
    return absl::IsUnknown(stored.status()) ? append_outcome::Unknown : append_outcome::Failed;
}

} // namespace

partition_runner::partition_runner(const job_context &context, partition_id partition)
    : m_context(context), m_partition(partition), m_stream(jobStreamName(partition)),
      m_batchCache(context.platform, m_stream),
      m_claims(partition, context.self.vm, context.self.incarnation)
{
}

void partition_runner::start()
{
    m_context.thread.spawn([this] { load(); });
}

std::set<model_id> partition_runner::modelsOfUnfinishedJobs() const
{
    std::set<model_id> models;
    if (!m_owner || !m_owner->isOwner() || !m_fold)
        return models;
    for (const auto &[id, job] : m_fold->jobs()) {
        if (!job.isEnded() || m_context.mutation == jobs_mutation::CancelIgnored)
            models.insert(job.model);
    }
    return models;
}

void partition_runner::refresh(std::chrono::milliseconds timeout)
{
    if (m_tailer)
        m_tailer->retryNow(timeout);
}

std::uint64_t partition_runner::addListener(fold_listener listener)
{
    m_listeners.emplace(++m_lastListener, std::move(listener));
    return m_lastListener;
}

void partition_runner::removeListener(std::uint64_t number)
{
    m_listeners.erase(number);
}

append_outcome partition_runner::append(const schema::log_batch_message &batch)
{
    m_context.metrics.add("tamarack_log_appends_total{stream=\"jobs\"}");
    return outcomeOf(m_context.platform.append(m_stream, encodeBatch(batch)));
}

void partition_runner::onLiveVms(const std::vector<live_vm> &vms)
{
    m_claims.onLiveVms(vms);
}

void partition_runner::onReleased(epoch_number released)
{
    m_claims.onOwnerReleased(released);
}

void partition_runner::onCredits(const vm_id &side, const model_id &model, std::uint32_t items)
{
    if (!m_owner)
        return;
    owner_actions actions;
    const upstream_id upstream(absl::StrCat(side.value(), "|", model.value()));
    m_owner->onCredits(upstream, model, items, steadyNow(), actions);
    perform(actions);
}

void partition_runner::onWeights(const manifest &manifest)
{
    if (!m_owner)
        return;
    for (const auto &[id, customer] : manifest.customers)
        m_owner->onCustomerWeight(id, customer.weight);
}

void partition_runner::tick()
{
    if (!m_fold)
        return;
    checkOwnerAlive();
    updateOwner();
    if (!m_owner) {
        const auto partitionClaim = m_claims.decide(*m_fold, steadyNow());
        if (partitionClaim && m_caughtUp && !m_leaving && !m_claiming)
            claim(*partitionClaim);
        return;
    }
    owner_actions actions;
    m_owner->tick(steadyNow(), wallSeconds(), actions);
    perform(actions);
    runRetentionStep();
}

void partition_runner::beginHandover()
{
    m_leaving = true;
    if (!m_owner)
        return;
    owner_actions actions;
    m_owner->beginHandover(steadyNow(), actions);
    perform(actions);
}

// Loads the fold from the stream's beginning or its newest snapshot, and retries until that
// succeeds.
void partition_runner::load()
{
    while (!loadOnce())
        boost::this_fiber::sleep_for(LoadRetryInterval);
    startTail();
}

bool partition_runner::loadOnce()
{
    const auto probe =
        m_context.platform.read(m_stream, log_offset(1), 1, std::chrono::milliseconds(0));
    if (probe.ok()) {
        m_fold = std::make_unique<partition_fold>(m_partition, m_context.mutation);
        return true;
    }
    std::uint64_t first = 0;
    if (!absl::IsOutOfRange(probe.status()) || !absl::SimpleAtoi(probe.status().message(), &first))
        return false;
    m_firstRetained = log_offset(first);
    snapshot_finder finder(m_partition, m_firstRetained, m_context.mutation);
    log_offset next = m_firstRetained;
    for (;;) {
        const auto read =
            m_context.platform.read(m_stream, next, MaxReadRecords, std::chrono::milliseconds(0));
        if (!read.ok())
            return false;
        for (const log_entry &entry : read->entries) {
            const auto batch = decodeBatch(entry.payload);
            if (batch.ok())
                finder.scan(*batch);
        }
        if (!read->entries.empty())
            next = log_offset(read->entries.back().offset.value() + 1);
        if (next >= read->next)
            break;
    }
    auto found = finder.start();
    if (!found.ok()) {
        log_event(log_level::Error, "jobs are lost: no snapshot covers the log's beginning")
            .with("stream", m_stream)
            .with("reason", std::string(found.status().message()));
        return false;
    }
    m_fold = std::make_unique<partition_fold>(std::move(*found));
    return true;
}

void partition_runner::startTail()
{
    tail_handler handler;
    handler.onRead = [this](const log_read &read, bool caughtUp) { onRead(read, caughtUp); };
    handler.onGap = [this](log_offset first) {
        log_event(log_level::Error, "records expired before they were read")
            .with("stream", m_stream)
            .with("first_retained", first.value());
    };
    handler.onReachable = [](bool) {};
    const log_offset from(std::max(m_fold->position().value() + 1, m_firstRetained.value()));
    m_tailer = std::make_unique<log_tailer>(m_context.thread, m_context.platform, m_stream, from,
                                            std::move(handler));
}

void partition_runner::onRead(const log_read &read, bool caughtUp)
{
    for (const log_entry &entry : read.entries)
        applyEntry(entry);
    m_caughtUp = caughtUp;
    updateOwner();
    if (!caughtUp || !m_owner)
        return;
    owner_actions actions;
    m_owner->onTailConfirmed(steadyNow(), actions);
    perform(actions);
}

void partition_runner::applyEntry(const log_entry &entry)
{
    auto decoded = decodeBatch(entry.payload);
    if (!decoded.ok())
        return;
    const auto batch = std::make_shared<const schema::log_batch_message>(std::move(*decoded));
    m_batchCache.insert(entry.offset, batch);
    const fold_changes changes = m_fold->apply(entry.offset, *batch);
    if (batch->written_at_s > 0)
        m_written.emplace_back(entry.offset, batch->written_at_s);
    if (m_owner) {
        owner_actions actions;
        m_owner->onFolded(changes, steadyNow(), actions);
        perform(actions);
    }
    // Iterates over a copy, because a listener may remove itself.
    const auto listeners = m_listeners;
    for (const auto &[number, listener] : listeners)
        listener(changes);
}

void partition_runner::updateOwner()
{
    const bool ours = m_fold->ownerVm() == m_context.self.vm
                      && m_fold->ownerIncarnation() == m_context.self.incarnation;
    if (m_owner && (!ours || !m_owner->isOwner())) {
        m_owner.reset();
        m_retention.reset();
    }
    if (!ours || m_owner || !m_caughtUp || m_leaving)
        return;
    log_event(log_level::Info, "owning a partition")
        .with("partition", m_partition.value())
        .with("epoch", m_fold->currentEpoch().value());
    owner_options options;
    options.mutation = m_context.mutation;
    const auto config = m_context.config.current();
    if (config && config->inForce)
        options.resultRetentionS =
            static_cast<std::uint64_t>(toSeconds(config->inForce->batch.resultExpiry));
    m_owner = std::make_unique<partition_owner>(*m_fold, options, steadyNow());
    m_retention =
        std::make_unique<retention_planner>(*m_fold, retention_options{}, m_firstRetained);
    if (config && config->inForce)
        onWeights(*config->inForce);
    owner_actions actions;
    m_owner->onTailConfirmed(steadyNow(), actions);
    perform(actions);
}

void partition_runner::claim(const partition_claim &partitionClaim)
{
    m_claiming = true;
    m_context.thread.spawn([this, batch = claimBatch(partitionClaim)] {
        append(batch);
        m_claiming = false;
    });
}

// An owner with an open connection is alive, because the wire layer closes silent connections.
void partition_runner::checkOwnerAlive()
{
    const auto owner = m_context.peers.find(m_fold->ownerVm());
    if (owner && owner->identity().incarnation == m_fold->ownerIncarnation())
        m_claims.onOwnerAlive(steadyNow());
}

void partition_runner::perform(const owner_actions &actions)
{
    for (const owner_action &action : actions) {
        if (const auto *start = std::get_if<start_item>(&action)) {
            startItem(*start);
        } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
            const auto wire = m_wireAttempts.find(cancel->attempt);
            if (wire != m_wireAttempts.end())
                m_context.dispatcher.cancel(wire->second);
        } else if (const auto *batch = std::get_if<append_batch>(&action)) {
            sendAppend(*batch);
        } else if (const auto *released = std::get_if<released_partition>(&action)) {
            announceRelease(released->epoch);
        }
    }
}

void partition_runner::startItem(const start_item &action)
{
    m_context.thread.spawn([this, action] {
        const auto line = inputLine(action.input);
        if (!line.ok())
            endAttempt(action.attempt, attempt_outcome::NotStarted, "", "");
        else
            runItem(action, *line);
    });
}

absl::StatusOr<std::string> partition_runner::inputLine(const input_reference &input)
{
    const auto batch = m_batchCache.fetch(input.chunk.offset());
    if (!batch.ok())
        return batch.status();
    if (input.chunk.index() >= (*batch)->records.size())
        return absl::NotFoundError("no such record in the batch");
    const auto *chunk = (*batch)->records[input.chunk.index()]->body.Asfile_chunk();
    if (chunk == nullptr)
        return absl::NotFoundError("the record is no file chunk");
    return lineOf(chunk->data, input.line);
}

void partition_runner::runItem(const start_item &action, const std::string &line)
{
    const auto config = m_context.config.current();
    const auto *job = m_fold->job(action.item.job);
    const json item = parseJson(line);
    const std::string customId = item.is_object() ? item.value("custom_id", "") : "";
    const model_options *model = job == nullptr ? nullptr : config->inForce->model(job->model);
    if (model == nullptr || !item.is_object() || !item.contains("body")) {
        endAttempt(action.attempt, attempt_outcome::Rejected,
                   R"({"error":{"code":"model_not_found"}})", customId);
        return;
    }
    json body = item["body"];
    body["stream"] = false;
    call_request call;
    call.id = request_id(
        absl::StrCat("batch_req_", action.item.job.value(), "_", action.item.item.value()));
    call.customer = job->customer;
    call.group = model->group;
    call.method = "POST";
    call.target = std::string(endpointPath(job->endpoint));
    call.contentType = "application/json";
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.timeout = ItemTimeout;
    const std::string &upstream = action.upstream.value();
    const vm_id side(upstream.substr(0, upstream.find('|')));
    const auto wire = m_context.dispatcher.start(
        side, call, action.alone,
        [this, attempt = action.attempt, customId](const batch_answer &answer) {
            onAnswer(attempt, customId, answer);
        });
    if (wire)
        m_wireAttempts[action.attempt] = *wire;
    else
        endAttempt(action.attempt, attempt_outcome::NotStarted, "", customId);
}

void partition_runner::onAnswer(const attempt_id &attempt, const std::string &customId,
                                const batch_answer &answer)
{
    const attempt_outcome outcome = outcomeOf(answer);
    m_context.metrics.add(
        absl::StrCat("tamarack_batch_attempts_total{outcome=\"", static_cast<int>(outcome), "\"}"));
    endAttempt(attempt, outcome, responseJson(answer, attempt.value()), customId);
}

void partition_runner::endAttempt(const attempt_id &attempt, attempt_outcome outcome,
                                  const std::string &data, const std::string &customId)
{
    m_wireAttempts.erase(attempt);
    if (!m_owner)
        return;
    owner_actions actions;
    m_owner->onAttemptResult(attempt, outcome, {data.begin(), data.end()}, customId, steadyNow(),
                             actions);
    perform(actions);
}

void partition_runner::sendAppend(const append_batch &action)
{
    // Shared with the fiber that sends it, to avoid a copy.
    auto payload = std::make_shared<std::string>(encodeBatch(action.batch));
    m_context.metrics.add("tamarack_log_appends_total{stream=\"jobs\"}");
    m_context.thread.spawn([this, payload, id = action.batch.record_id] {
        const auto outcome = outcomeOf(m_context.platform.append(m_stream, *payload));
        if (!m_owner)
            return;
        owner_actions actions;
        m_owner->onAppendResult(id, outcome, steadyNow(), actions);
        perform(actions);
    });
}

void partition_runner::announceRelease(epoch_number released)
{
    schema::partition_released_message message;
    message.partition = m_partition.value();
    message.epoch = released.value();
    for (const auto &peer : m_context.peers.withRole(schema::vm_role::Entry))
        peer->send(frameBody(message));
    m_owner.reset();
    m_retention.reset();
}

void partition_runner::runRetentionStep()
{
    if (!m_retention || m_owner->hasQueuedAppends())
        return;
    advanceHorizon();
    const auto action = m_retention->next(steadyNow());
    if (!action)
        return;
    if (const auto *read = std::get_if<retention_planner::read_batch>(&*action)) {
        readForRetention(read->offset);
        return;
    }
    owner_actions actions;
    m_owner->enqueue(std::get<retention_planner::append_copy>(*action).batch, steadyNow(), actions);
    perform(actions);
}

// Moves the horizon past records older than half of the log's retention.
void partition_runner::advanceHorizon()
{
    const auto config = m_context.config.current();
    if (!config || !config->inForce)
        return;
    const double half = toSeconds(config->inForce->fleet.logRetention) / 2;
    const auto before =
        static_cast<std::uint64_t>(std::max(0.0, static_cast<double>(wallSeconds()) - half));
    while (!m_written.empty() && m_written.front().second < before) {
        m_retention->setHorizon(m_written.front().first);
        m_written.pop_front();
    }
}

void partition_runner::readForRetention(log_offset offset)
{
    const auto batch = m_batchCache.fetch(offset);
    // The partition may have got another owner while the fetch waited.
    if (!m_retention)
        return;
    if (batch.ok())
        m_retention->onBatchRead(offset, **batch);
    else if (absl::IsNotFound(batch.status()))
        m_retention->onBatchMissing(offset);
}

} // namespace tamarack
