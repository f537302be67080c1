// Parses requests to /v1/batches and calls the job controller.
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/entry/answer_json.hpp>
#include <tamarackglade/entry/batches_api.hpp>

#include <absl/strings/numbers.h>

namespace tamarack {

namespace {

constexpr std::string_view BatchesPrefix = "/v1/batches/";
constexpr std::string_view CancelSuffix = "/cancel";
constexpr std::size_t DefaultListLimit = 20;
constexpr std::size_t MaxListLimit = 100;
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t MaxMetadataBytes = 16 * 1024;

using batch_request_result = api_result<batch_request>;

batch_request_result parseBatchRequest(const http_request &http)
{
    const auto body = parseJson(http.body);
    if (!body.is_object())
        return invalidRequest("malformed_json", "the body must be a JSON object");
    batch_request batchRequest;
    for (const char *name : {"input_file_id", "endpoint", "completion_window"}) {
        if (!body.contains(name) || !body[name].is_string())
            return invalidRequest(std::string("invalid_") + name,
                                  std::string(name) + " must be a string");
    }
    batchRequest.inputFile = file_id(body["input_file_id"].get<std::string>());
    batchRequest.endpoint = body["endpoint"].get<std::string>();
    batchRequest.completionWindow = body["completion_window"].get<std::string>();
    if (body.contains("metadata") && !body["metadata"].is_null()) {
        if (!body["metadata"].is_object())
            return invalidRequest("invalid_metadata", "metadata must be an object");
        batchRequest.metadataJson =
            body["metadata"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    batchRequest.idempotencyKey = std::string(http.header("idempotency-key"));
    if (batchRequest.idempotencyKey.size() > MaxKeyBytes
        || batchRequest.metadataJson.size() > MaxMetadataBytes)
        return invalidRequest("too_long", "the Idempotency-Key or the metadata is too long");
    return batchRequest;
}

} // namespace

void batches_api::create(const caller_request &request)
{
    auto batchRequest = parseBatchRequest(request.exchange.request());
    if (const auto *error = std::get_if<api_error>(&batchRequest)) {
        request.refuse(*error);
        return;
    }
    api_result<job_controller::json> result;
    m_control.run([&] {
        result = m_controller.create(request.from.customer, std::get<batch_request>(batchRequest));
    });
    answerJson(request, result);
}

void batches_api::list(const caller_request &request)
{
    const http_request &http = request.exchange.request();
    std::size_t limit = DefaultListLimit;
    const std::string limitText = http.queryParameter("limit");
    if (!limitText.empty()
        && (!absl::SimpleAtoi(limitText, &limit) || limit == 0 || limit > MaxListLimit)) {
        request.refuse(invalidRequest("invalid_limit", "limit must be from 1 to 100"));
        return;
    }
    api_result<job_controller::json> result;
    m_control.run([&] {
        result = m_controller.list(request.from.customer, http.queryParameter("after"), limit);
    });
    answerJson(request, result);
}

void batches_api::show(const caller_request &request)
{
    const job_id job(request.exchange.request().path.substr(BatchesPrefix.size()));
    api_result<job_controller::json> result;
    m_control.run([&] { result = m_controller.show(request.from.customer, job); });
    answerJson(request, result);
}

void batches_api::cancel(const caller_request &request)
{
    std::string id = request.exchange.request().path.substr(BatchesPrefix.size());
    const bool isCancel =
        id.size() > CancelSuffix.size()
        && id.compare(id.size() - CancelSuffix.size(), CancelSuffix.size(), CancelSuffix) == 0;
    if (!isCancel) {
        api_error error = invalidRequest("not_found", "only /cancel can be posted to a batch");
        error.status = 404;
        request.refuse(error);
        return;
    }
    id.resize(id.size() - CancelSuffix.size());
    api_result<job_controller::json> result;
    m_control.run([&] { result = m_controller.cancel(request.from.customer, job_id(id)); });
    answerJson(request, result);
}

} // namespace tamarack
