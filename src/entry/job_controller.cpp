// Stores files and jobs in the partition's stream and reads them from its fold.
#include <tamarackglade/entry/job_controller.hpp>
#include <tamarackglade/entry/job_json.hpp>
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/submission_tracker.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>

namespace tamarack {

namespace {

// How long a read waits for the log after an outage before it is answered from the fold.
constexpr std::chrono::milliseconds MaxRefreshTime{500};
constexpr std::chrono::milliseconds PollInterval{5};
constexpr std::chrono::seconds FoldTimeout{10};
constexpr std::chrono::milliseconds RetryDelay{2'000};
constexpr int MaxAppendAttempts = 3;
constexpr std::size_t ResultPartBytes = 256 * 1024; // minimum size of one part of a result file

api_error unavailableError(std::string code, std::string message)
{
    return {503,       "service_unavailable", std::move(code), std::move(message), execution::No,
            RetryDelay};
}

api_error unknownOutcomeError(std::string message)
{
    return {
        503,       "service_unavailable", "outcome_unknown", std::move(message), execution::Unknown,
        RetryDelay};
}

api_error notFoundError(const std::string &kind, const std::string &id)
{
    api_error error =
        invalidRequest(absl::StrCat(kind, "_not_found"), absl::StrCat("no ", kind, " ", id));
    error.status = 404;
    return error;
}

const batch_job *findCustomerJob(const partition_fold &fold, const customer_id &customer,
                                 const job_id &id)
{
    const batch_job *job = fold.job(id);
    return job != nullptr && job->customer == customer ? job : nullptr;
}

const input_file *findCustomerFile(const partition_fold &fold, const customer_id &customer,
                                   const file_id &id)
{
    const input_file *file = fold.file(id);
    const bool readable = file != nullptr && file->customer() == customer && file->isComplete();
    return readable ? file : nullptr;
}

// Result of the mutation AcknowledgeUnlogged.
job_controller::json unloggedJob(const job_request &request)
{
    batch_job job;
    job.id = request.id;
    return jobJson(job);
}

std::size_t countOpenJobs(const partition_fold &fold, const customer_id &customer)
{
    std::size_t open = 0;
    for (const job_id &id : fold.jobsOf(customer))
        open += fold.job(id)->isEnded() ? 0 : 1;
    return open;
}

api_error refusalError(const submission_outcome &outcome)
{
    if (outcome.reason == refusal_reason::FileNotComplete)
        return notFoundError("file", "input_file_id");
    return invalidRequest("job_refused", "the job can't be accepted");
}

} // namespace

job_controller::job_controller(job_service &jobs, config_store &config, submission_limits limits,
                               shell_mutation mutation)
    : m_jobs(jobs), m_config(config), m_limits(limits), m_mutation(mutation)
{
}

api_result<job_controller::json> job_controller::upload(const customer_id &customer,
                                                        const std::string &filename,
                                                        std::string_view content)
{
    auto ready = readyRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    partition_runner &runner = *std::get<partition_runner *>(ready);
    const file_id id = newFileId(wallSeconds(), content.size());
    const auto batches = fileBatches(id, customer, filename, content, m_limits);
    if (!batches.ok())
        return invalidRequest("invalid_file", std::string(batches.status().message()));
    for (const schema::log_batch_message &batch : *batches) {
        if (auto error = storeChunk(runner, batch))
            return *error;
    }
    const auto deadline = steadyNow() + FoldTimeout;
    while (findCustomerFile(*runner.fold(), customer, id) == nullptr) {
        if (steadyNow() >= deadline)
            return unknownOutcomeError("the file was sent to the log but is not confirmed yet");
        boost::this_fiber::sleep_for(PollInterval);
    }
    return inputFileJson(*runner.fold()->file(id));
}

api_result<job_controller::json> job_controller::showFile(const customer_id &customer,
                                                          const file_id &file)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    const partition_fold &fold = *std::get<partition_runner *>(ready)->fold();
    if (const input_file *input = findCustomerFile(fold, customer, file))
        return inputFileJson(*input);
    const result_file_name name = parseResultFile(file);
    const batch_job *job = findCustomerJob(fold, customer, name.job);
    if (job != nullptr && job->isEnded())
        return resultFileJson(*job, name.succeeded);
    return notFoundError("file", file.value());
}

api_result<job_controller::json> job_controller::listFiles(const customer_id &customer)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    json list;
    list["object"] = "list";
    list["data"] = json::array();
    for (const auto &[id, file] : std::get<partition_runner *>(ready)->fold()->files()) {
        if (file.customer() == customer && file.isComplete())
            list["data"].push_back(inputFileJson(file));
    }
    list["has_more"] = false;
    return list;
}

api_result<content_part> job_controller::readContent(const customer_id &customer,
                                                     const file_id &file, std::size_t from)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    partition_runner &runner = *std::get<partition_runner *>(ready);
    if (const input_file *input = findCustomerFile(*runner.fold(), customer, file))
        return inputPart(runner, *input, from);
    const result_file_name name = parseResultFile(file);
    const batch_job *job = findCustomerJob(*runner.fold(), customer, name.job);
    if (job == nullptr || !job->isEnded())
        return notFoundError("file", file.value());
    return resultPart(runner, name.job, name.succeeded, from);
}

api_result<job_controller::json> job_controller::create(const customer_id &customer,
                                                        const batch_request &batchRequest)
{
    auto ready = readyRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    partition_runner &runner = *std::get<partition_runner *>(ready);
    auto checked = checkRequest(customer, batchRequest, runner);
    if (const auto *error = std::get_if<api_error>(&checked))
        return *error;
    const auto &request = std::get<job_request>(checked);
    if (m_mutation == shell_mutation::AcknowledgeUnlogged)
        return unloggedJob(request);
    return submit(runner, request);
}

api_result<job_controller::json> job_controller::show(const customer_id &customer,
                                                      const job_id &job)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    const partition_fold &fold = *std::get<partition_runner *>(ready)->fold();
    const batch_job *found = findCustomerJob(fold, customer, job);
    if (found == nullptr)
        return notFoundError("batch", job.value());
    return jobJson(*found);
}

api_result<job_controller::json> job_controller::list(const customer_id &customer,
                                                      const std::string &after, std::size_t limit)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    const partition_fold &fold = *std::get<partition_runner *>(ready)->fold();
    std::vector<job_id> ids = fold.jobsOf(customer);
    std::reverse(ids.begin(), ids.end()); // newest first
    auto first = ids.begin();
    if (!after.empty()) {
        const auto found = std::find(ids.begin(), ids.end(), job_id(after));
        first = found == ids.end() ? found : found + 1;
    }
    json list;
    list["object"] = "list";
    list["data"] = json::array();
    for (; first != ids.end() && list["data"].size() < limit; ++first)
        list["data"].push_back(jobJson(*fold.job(*first)));
    list["has_more"] = first != ids.end();
    return list;
}

api_result<job_controller::json> job_controller::cancel(const customer_id &customer,
                                                        const job_id &job)
{
    auto ready = currentRunner(customer);
    if (const auto *error = std::get_if<api_error>(&ready))
        return *error;
    partition_runner &runner = *std::get<partition_runner *>(ready);
    const batch_job *found = findCustomerJob(*runner.fold(), customer, job);
    if (found == nullptr)
        return notFoundError("batch", job.value());
    if (found->isEnded())
        return jobJson(*found);
    const auto batch = cancelBatch(job, randomId("cancel_"), wallSeconds());
    if (auto error = storeChunk(runner, batch))
        return *error;
    const auto deadline = steadyNow() + FoldTimeout;
    for (;;) {
        found = findCustomerJob(*runner.fold(), customer, job);
        if (found == nullptr || found->isEnded())
            break;
        if (steadyNow() >= deadline)
            return unknownOutcomeError(
                "the cancellation was sent to the log but is not confirmed yet");
        boost::this_fiber::sleep_for(PollInterval);
    }
    if (found == nullptr)
        return notFoundError("batch", job.value());
    return jobJson(*found);
}

// Another entry may have accepted a job after the read that failed here.
api_result<partition_runner *> job_controller::currentRunner(const customer_id &customer)
{
    if (partition_runner *runner = m_jobs.runnerOf(customer))
        runner->refresh(MaxRefreshTime);
    return readyRunner(customer);
}

api_result<partition_runner *> job_controller::readyRunner(const customer_id &customer)
{
    partition_runner *runner = m_jobs.runnerOf(customer);
    if (runner == nullptr || runner->fold() == nullptr)
        return unavailableError("jobs_loading", "the jobs are still being read from the log");
    return runner;
}

api_result<job_request> job_controller::checkRequest(const customer_id &customer,
                                                     const batch_request &batchRequest,
                                                     partition_runner &runner)
{
    const auto config = m_config.current();
    const customer_options *options = config->inForce->customer(customer);
    if (options == nullptr || !options->batchAllowed) {
        api_error error =
            invalidRequest("batch_not_allowed", "the customer is not allowed to run batch jobs");
        error.status = 403;
        return error;
    }
    const auto endpoint = parseEndpoint(batchRequest.endpoint);
    if (!endpoint.ok())
        return invalidRequest("invalid_endpoint", std::string(endpoint.status().message()));
    const auto window = parseCompletionWindow(batchRequest.completionWindow);
    if (!window.ok())
        return invalidRequest("invalid_completion_window", std::string(window.status().message()));
    auto content = inputContent(runner, batchRequest.inputFile);
    if (const auto *error = std::get_if<api_error>(&content))
        return *error;
    const input_file *file = findCustomerFile(*runner.fold(), customer, batchRequest.inputFile);
    if (file == nullptr)
        return notFoundError("file", batchRequest.inputFile.value());
    submission_limits limits = m_limits;
    limits.maxItems = std::min(limits.maxItems, config->inForce->batch.maxItems);
    const auto facts = checkInput(std::get<std::string>(content), *endpoint, limits);
    if (!facts.ok())
        return invalidRequest("invalid_input_file", std::string(facts.status().message()));
    if (config->inForce->model(facts->model) == nullptr || !options->mayUse(facts->model))
        return notFoundError("model", facts->model.value());
    job_request request;
    request.id = job_id(randomId("batch_"));
    request.customer = customer;
    request.idempotencyDigest = idempotencyDigest(batchRequest.idempotencyKey, *file, *endpoint);
    request.inputFile = batchRequest.inputFile;
    request.endpoint = *endpoint;
    request.model = facts->model;
    request.itemCount = facts->itemCount;
    request.createdAtS = wallSeconds();
    request.completionWindowS = *window;
    request.metadataJson = batchRequest.metadataJson;
    const bool known = runner.fold()->jobByDigest(customer, request.idempotencyDigest) != nullptr;
    if (!known && countOpenJobs(*runner.fold(), customer) >= options->maxOpenJobs) {
        api_error error =
            invalidRequest("too_many_jobs", absl::StrCat("the customer may have ",
                                                         options->maxOpenJobs, " open jobs"));
        error.status = 429;
        error.retryAfter = RetryDelay;
        return error;
    }
    return request;
}

api_result<std::string> job_controller::inputContent(partition_runner &runner, const file_id &file)
{
    std::string content;
    for (std::size_t from = 0;;) {
        const input_file *input = runner.fold()->file(file);
        if (input == nullptr || !input->isComplete())
            return notFoundError("file", file.value());
        auto part = inputPart(runner, *input, from);
        if (const auto *error = std::get_if<api_error>(&part))
            return *error;
        const auto &piece = std::get<content_part>(part);
        content += piece.bytes;
        if (piece.last)
            return content;
        from = piece.next;
    }
}

api_result<content_part> job_controller::inputPart(partition_runner &runner, const input_file &file,
                                                   std::size_t from)
{
    content_part part;
    part.next = from + 1;
    part.last = part.next >= file.chunks().size();
    if (from >= file.chunks().size()) {
        part.last = true;
        return part;
    }
    const record_reference reference = file.chunks()[from].reference;
    const auto batch = runner.batchCache().fetch(reference.offset());
    if (!batch.ok())
        return unavailableError("log_unavailable", "the file can't be read from the log now");
    const auto *chunk = (*batch)->records[reference.index()]->body.Asfile_chunk();
    if (chunk == nullptr)
        return unavailableError("log_unavailable", "the file can't be read from the log now");
    part.bytes.assign(chunk->data.begin(), chunk->data.end());
    return part;
}

api_result<content_part> job_controller::resultPart(partition_runner &runner, const job_id &id,
                                                    bool succeeded, std::size_t from)
{
    content_part part;
    for (part.next = from; part.bytes.size() < ResultPartBytes; ++part.next) {
        // Looked up in each pass, because the fold may change while a fetch waits.
        const batch_job *job = runner.fold()->job(id);
        if (job == nullptr)
            return notFoundError("batch", id.value());
        if (part.next >= job->results.size()) {
            part.last = true;
            break;
        }
        const record_reference reference = job->results[part.next];
        if (!reference.isSet() || reference.flag() != succeeded)
            continue;
        const auto batch = runner.batchCache().fetch(reference.offset());
        if (!batch.ok())
            return unavailableError("log_unavailable",
                                    "the results can't be read from the log now");
        const auto *result = (*batch)->records[reference.index()]->body.Asitem_result();
        if (result != nullptr)
            part.bytes += resultLine(*result);
    }
    return part;
}

// All attempts use the same record id, so that the fold applies the batch only once.
std::optional<api_error> job_controller::storeChunk(partition_runner &runner,
                                                    const schema::log_batch_message &batch)
{
    bool mayBeStored = false;
    for (int attempt = 0; attempt < MaxAppendAttempts; ++attempt) {
        const append_outcome outcome = runner.append(batch);
        if (outcome == append_outcome::Ok)
            return std::nullopt;
        mayBeStored = mayBeStored || outcome == append_outcome::Unknown;
        boost::this_fiber::sleep_for(PollInterval * (1 << (4 + attempt)));
    }
    if (mayBeStored)
        return unknownOutcomeError(
            "it is unknown whether the log stored the request; sending it again is safe");
    return unavailableError("log_unavailable",
                            "the log can't store the request now; nothing was accepted");
}

api_result<job_controller::json> job_controller::submit(partition_runner &runner,
                                                        const job_request &request)
{
    auto tracker = std::make_shared<submission_tracker>(*runner.fold(), request,
                                                        submission_tracker::timing{}, steadyNow());
    const auto listener =
        runner.addListener([tracker](const fold_changes &changes) { tracker->onFolded(changes); });
    while (tracker->outcome().state == submission_state::Waiting) {
        if (const auto batch = tracker->next(steadyNow()))
            tracker->onAppendResult(runner.append(*batch), steadyNow());
        tracker->tick(steadyNow());
        boost::this_fiber::sleep_for(PollInterval);
    }
    runner.removeListener(listener);
    const submission_outcome &outcome = tracker->outcome();
    switch (outcome.state) {
    case submission_state::Accepted:
    case submission_state::Existing:
        break;
    case submission_state::Refused:
        return refusalError(outcome);
    case submission_state::NotWritten:
        return unavailableError("log_unavailable",
                                "the log can't store the job now; no job was accepted");
    case submission_state::Waiting:
    case submission_state::Unknown:
        return unknownOutcomeError(
            "it is unknown whether the job was accepted; sending it again is safe");
    }
    const batch_job *job = runner.fold()->job(outcome.job);
    if (job == nullptr)
        return notFoundError("batch", outcome.job.value());
    return jobJson(*job);
}

} // namespace tamarack
