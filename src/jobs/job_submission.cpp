// Log records of submitted files and jobs.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/job_submission.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::uint32_t MaxCompletionWindowS = 7 * 24 * 3600;
constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *CompletionsPath = "/v1/completions";

// Removes as many whole lines from the front of rest as fit into limit bytes and returns them.
absl::StatusOr<std::string_view> takeChunk(std::string_view &rest, std::size_t limit)
{
    std::size_t length = rest.size();
    if (length > limit) {
        const auto end = rest.substr(0, limit).rfind('\n');
        if (end == std::string_view::npos)
            return absl::InvalidArgumentError(
                absl::StrCat("a line is longer than ", limit, " bytes"));
        length = end + 1;
    }
    const auto chunk = rest.substr(0, length);
    rest.remove_prefix(length);
    return chunk;
}

std::uint32_t countLines(std::string_view chunk)
{
    const auto ends = std::count(chunk.begin(), chunk.end(), '\n');
    return static_cast<std::uint32_t>(ends) + (chunk.ends_with('\n') ? 0 : 1);
}

} // namespace

std::string_view endpointPath(schema::job_endpoint endpoint)
{
    return endpoint == schema::job_endpoint::ChatCompletions ? ChatPath : CompletionsPath;
}

absl::StatusOr<schema::job_endpoint> parseEndpoint(std::string_view path)
{
    if (path == ChatPath)
        return schema::job_endpoint::ChatCompletions;
    if (path == CompletionsPath)
        return schema::job_endpoint::Completions;
    return absl::InvalidArgumentError(
        absl::StrCat("endpoint must be ", ChatPath, " or ", CompletionsPath));
}

absl::StatusOr<std::uint32_t> parseCompletionWindow(std::string_view text)
{
    const auto invalid = absl::InvalidArgumentError(
        "completion_window must be a number of hours or minutes up to 7 days, such as 24h");
    if (text.size() < 2)
        return invalid;
    const std::uint64_t unitS = text.back() == 'h' ? 3600 : text.back() == 'm' ? 60 : 0;
    std::uint32_t count = 0;
    if (unitS == 0 || !absl::SimpleAtoi(std::string(text.substr(0, text.size() - 1)), &count))
        return invalid;
    const auto seconds = count * unitS;
    if (seconds == 0 || seconds > MaxCompletionWindowS)
        return invalid;
    return static_cast<std::uint32_t>(seconds);
}

absl::StatusOr<std::vector<schema::log_batch_message>>
fileBatches(const file_id &id, const customer_id &customer, const std::string &filename,
            std::string_view content, const submission_limits &limits)
{
    if (content.empty() || content.size() > limits.maxFileBytes)
        return absl::InvalidArgumentError(
            absl::StrCat("a file must have 1 to ", limits.maxFileBytes, " bytes"));
    std::vector<std::string_view> chunks;
    for (auto rest = content; !rest.empty();) {
        const auto chunk = takeChunk(rest, limits.chunkBytes);
        if (!chunk.ok())
            return chunk.status();
        chunks.push_back(*chunk);
    }
    std::vector<schema::log_batch_message> batches;
    for (std::uint32_t index = 0; index < chunks.size(); ++index) {
        schema::file_chunk_message record;
        record.file_id = id.value();
        record.customer = customer.value();
        record.filename = filename;
        record.chunk = index;
        record.chunk_count = static_cast<std::uint32_t>(chunks.size());
        record.line_count = countLines(chunks[index]);
        record.data.assign(chunks[index].begin(), chunks[index].end());
        schema::log_batch_message batch;
        batch.record_id = absl::StrCat("file:", id.value(), ":", index);
        addRecord(batch, std::move(record));
        batches.push_back(std::move(batch));
    }
    return batches;
}

std::uint64_t idempotencyDigest(std::string_view idempotencyKey, const input_file &input,
                                schema::job_endpoint endpoint)
{
    if (!idempotencyKey.empty())
        return stableHash("key:" + std::string(idempotencyKey));
    return stableHash(
        absl::StrCat("content:", input.contentDigest(), ":", std::string(endpointPath(endpoint))));
}

schema::log_batch_message acceptBatch(const job_request &request)
{
    schema::job_accepted_message record;
    record.job_id = request.id.value();
    record.customer = request.customer.value();
    record.idempotency_digest = request.idempotencyDigest;
    record.input_file_id = request.inputFile.value();
    record.endpoint = request.endpoint;
    record.item_count = request.itemCount;
    record.created_at_s = request.createdAtS;
    record.completion_window_s = request.completionWindowS;
    record.metadata_json = request.metadataJson;
    record.model = request.model.value();
    schema::log_batch_message batch;
    batch.record_id = "accept:" + request.id.value();
    batch.written_at_s = request.createdAtS;
    addRecord(batch, std::move(record));
    return batch;
}

schema::log_batch_message cancelBatch(const job_id &job, std::string_view requestId,
                                      std::uint64_t wallS)
{
    schema::job_cancelled_message record;
    record.job_id = job.value();
    schema::log_batch_message batch;
    batch.record_id = absl::StrCat("cancel:", job.value(), ":", std::string(requestId));
    batch.written_at_s = wallS;
    addRecord(batch, std::move(record));
    return batch;
}

} // namespace tamarack
