// Request handlers for batch jobs, answered from the folded job partitions.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/batches/result_page.hpp>
#include <tamarackglade/gateway/batch/batch_api.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds SubmissionTimeout{3'500};
constexpr std::chrono::milliseconds EndTimeout{3'000};
constexpr std::chrono::milliseconds AnswerMargin{150}; // time to send the response to the caller
constexpr std::chrono::milliseconds ResultPollInterval{40};
constexpr std::chrono::milliseconds UnavailableRetryAfter{500};
constexpr std::chrono::milliseconds OverLimitRetryAfter{1'000};
constexpr std::chrono::milliseconds MaxResultWait{5'000};
// A job's body is held up to this many times beyond the copies of any request: decoded, as the
// records of its contents, and as the calls to the store.
constexpr std::size_t CopiesOfJob = 5;
constexpr std::size_t CopiesOfPage = 4; // as outputs, JSON values, JSON text and response

std::uint64_t toMilliseconds(duration time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

http_response plainAnswer(unsigned status, std::string body, std::string contentType)
{
    http_response response;
    response.status = status;
    response.contentType = std::move(contentType);
    response.body = std::move(body);
    return response;
}

bool isTooLarge(const schema::batch_item_message &item)
{
    return encodeBatchItem(item).size() > store_limits().maxAppendBytes;
}

void logPage(const customer_batch &job, std::size_t from, const page_sizes &sizes,
             stream_position recordsRead)
{
    log_event(log_level::Info, "batch results answered")
        .customer(job.id.customer.value())
        .with("job", job.id.job.value())
        .with("from", from)
        .with("results", sizes.results)
        .with("abandoned", sizes.abandoned)
        .with("abandoned_bytes", sizes.abandonedBytes)
        .with("bytes", sizes.bytes)
        .with("recorded_bytes", sizes.recordedBytes)
        .with("records_read", recordsRead.value());
}

} // namespace

void batch_api::submit(http_exchange &exchange, const forward_call &call,
                       const forward_route &route, const customer_id &customer,
                       time_point arrivedAt)
{
    if (!exchange.reserveMemory(exchange.request().body.size() * CopiesOfJob)) {
        log_event(log_level::Info, "batch job refused")
            .request(call.id.value())
            .customer(customer.value())
            .with("reason", "no memory");
        exchange.respond(refusal(503, "overloaded", UnavailableRetryAfter));
        return;
    }
    auto items = m_context.protocol.decodeBatchItems(exchange.request().body);
    if (!items.ok() || call.id.value().empty()) {
        const std::string reason =
            items.ok() ? "job has no id" : std::string(items.status().message());
        log_event(log_level::Info, "batch job malformed")
            .request(call.id.value())
            .customer(customer.value())
            .with("reason", reason);
        exchange.respond(refusal(400, "malformed_job", duration::zero(), reason));
        return;
    }
    if (std::any_of(items->begin(), items->end(), isTooLarge)) {
        log_event(log_level::Info, "batch job too large").request(call.id.value());
        exchange.respond(refusal(413, "item_too_large"));
        return;
    }
    schema::batch_accepted_message record;
    record.job = call.id.value();
    record.customer = customer.value();
    record.route = route.name;
    record.host = call.host;
    record.due_ms = toMilliseconds(route.completionObjective);
    record.retention_ms = toMilliseconds(route.retention);
    record.attempts = route.attempts;
    duration timeout = SubmissionTimeout;
    if (call.timeLeft)
        timeout = std::min(timeout, *call.timeLeft - AnswerMargin);
    batch_partition &partition = m_store.partitionOf(customer);
    batch_submission submission(partition, m_store.contents(), std::move(record), std::move(*items),
                                route.waitingTokenLimit);
    const submission_outcome outcome = submission.store(arrivedAt + timeout);
    struct outcome_row
    {
        unsigned status;
        const char *code;
        duration retryAfter;
    };
    static constexpr outcome_row OutcomeRows[] = {
        {202, "accepted", duration::zero()},
        {429, "too_many_waiting_tokens", OverLimitRetryAfter},
        {503, "store_unavailable", UnavailableRetryAfter},
        {504, "store_outcome_unknown", duration::zero()},
    };
    const outcome_row &answer = OutcomeRows[static_cast<std::size_t>(outcome)];
    log_event(log_level::Info, "batch job answered")
        .request(call.id.value())
        .customer(customer.value())
        .with("status", answer.status)
        .with("code", answer.code)
        .with("items", submission.itemCount())
        .with("tokens", submission.tokens())
        .with("waiting_tokens", partition.fold().waitingTokens(customer, route.name))
        .with("limit", route.waitingTokenLimit)
        .with("total_ms", toSeconds(bootNow() - arrivedAt) * 1000);
    m_context.metrics.add("tamarack_batch_jobs_total{code=\"" + std::string(answer.code) + "\"}");
    if (outcome == submission_outcome::Accepted)
        exchange.respond(plainAnswer(202, "{}", "application/json"));
    else
        exchange.respond(refusal(answer.status, answer.code, answer.retryAfter));
}

const customer_batch *batch_api::findJob(batch_partition &partition, const batch_id &id,
                                         time_point arrivedAt, bool &known)
{
    known = partition.completeSince(arrivedAt - m_context.options.batchFreshness)
            || partition.refresh(arrivedAt);
    const customer_batch *job = partition.fold().find(id);
    if (job == nullptr && known) {
        known = partition.refresh(arrivedAt);
        job = partition.fold().find(id);
    }
    return job;
}

void batch_api::answer(http_exchange &exchange, const batch_call &call, const customer_id &customer,
                       time_point arrivedAt)
{
    const batch_id id{customer, std::visit([](const auto &each) { return each.job; }, call)};
    batch_partition &partition = m_store.partitionOf(customer);
    bool known = false;
    const customer_batch *job = findJob(partition, id, arrivedAt, known);
    if (!known) {
        exchange.respond(refusal(503, "jobs_not_current", UnavailableRetryAfter));
        return;
    }
    if (job == nullptr) {
        log_event(log_level::Info, "batch job unknown")
            .with("job", id.job.value())
            .customer(customer.value())
            .with("end", partition.fold().end().value());
        exchange.respond(refusal(404, "no_such_job"));
        return;
    }
    std::visit([&](const auto &each) { answerCall(exchange, each, partition, *job); }, call);
}

void batch_api::answerCall(http_exchange &exchange, const read_results_call &call,
                           batch_partition &partition, const customer_batch &job)
{
    const batch_id id = job.id;
    const customer_batch *current = &job;
    const time_point until = bootNow() + std::min(call.wait, MaxResultWait);
    while (current->results.size() <= call.from && current->open() && bootNow() < until
           && !exchange.callerDisconnected()) {
        boost::this_fiber::sleep_for(ResultPollInterval);
        current = partition.fold().find(id);
        if (current == nullptr) {
            exchange.respond(refusal(404, "no_such_job"));
            return;
        }
    }
    const std::vector<content_place> places = placesOfPage(*current, call.from);
    const std::size_t pageBytes =
        std::accumulate(places.begin(), places.end(), std::size_t{0},
                        [](std::size_t sum, const auto &place) { return sum + place.size; });
    if (!exchange.reserveMemory(pageBytes * CopiesOfPage)) {
        exchange.respond(refusal(503, "overloaded", UnavailableRetryAfter));
        return;
    }
    const auto outputs = m_store.contents().readAll(places);
    // The fold may have dropped the job during these waits.
    current = partition.fold().find(id);
    if (!outputs || current == nullptr) {
        exchange.respond(refusal(503, "results_not_read", UnavailableRetryAfter));
        return;
    }
    if (!outputs->empty())
        logPage(*current, call.from, sizesOfPage(*current, call.from, *outputs),
                partition.fold().end());
    exchange.respond(plainAnswer(
        200, m_context.protocol.encodeResults(*current, call.from, *outputs), "application/json"));
}

void batch_api::answerCall(http_exchange &exchange, const read_item_call &call, batch_partition &,
                           const customer_batch &job)
{
    const auto item = std::find_if(job.items.begin(), job.items.end(),
                                   [&](const auto &each) { return each.id == call.item; });
    if (item == job.items.end() || item->state != batch_item_state::Waiting) {
        exchange.respond(refusal(404, "no_such_item"));
        return;
    }
    const auto content = m_store.contents().read(item->content);
    const auto sent = content ? decodeBatchItem(*content) : std::nullopt;
    if (!sent) {
        exchange.respond(refusal(503, "body_not_read", UnavailableRetryAfter));
        return;
    }
    exchange.respond(plainAnswer(200, std::string(sent->body.begin(), sent->body.end()),
                                 "application/octet-stream"));
}

void batch_api::answerCall(http_exchange &exchange, const end_batch_call &call,
                           batch_partition &partition, const customer_batch &job)
{
    durable_result stored = durable_result::Stored;
    if (!job.ended) {
        schema::batch_ended_message record;
        partition.fold().nameJob(record, job.id);
        stored = partition.append({encodeBatchRecord(std::move(record))}, bootNow() + EndTimeout);
    }
    log_event(log_level::Info, "batch job end asked")
        .with("job", call.job.value())
        .with("stored", stored == durable_result::Stored);
    if (stored == durable_result::Stored)
        exchange.respond(plainAnswer(200, "{}", "application/json"));
    else
        exchange.respond(refusal(504, "store_outcome_unknown"));
}

} // namespace tamarack
