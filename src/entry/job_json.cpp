// Builds the JSON of files, jobs and result lines.
#include <tamarackglade/entry/job_json.hpp>
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace tamarack {

namespace {

using json = nlohmann::ordered_json;

constexpr std::string_view OutputPrefix = "file-output-";
constexpr std::string_view ErrorPrefix = "file-errors-";

// Reads a number from an id "file-<time>-<bytes>-<random>", with time (seconds) and size in
// decimal. Returns 0 for other ids.
std::uint64_t numberInId(const file_id &id, std::size_t position)
{
    const std::vector<std::string> parts = absl::StrSplit(id.value(), '-');
    std::uint64_t number = 0;
    if (parts.size() != 4 || !absl::SimpleAtoi(parts[position], &number))
        return 0;
    return number;
}

json fileJson(const file_id &id, std::uint64_t bytes, std::uint64_t createdAtS,
              const std::string &name, const std::string &purpose)
{
    json file;
    file["id"] = id.value();
    file["object"] = "file";
    file["bytes"] = bytes;
    file["created_at"] = createdAtS;
    file["filename"] = name;
    file["purpose"] = purpose;
    file["status"] = "processed";
    return file;
}

json timeOrNull(bool set, std::uint64_t seconds)
{
    return set ? json(seconds) : json(nullptr);
}

json windowText(std::uint32_t seconds)
{
    constexpr std::uint32_t HourSeconds = 3600;
    constexpr std::uint32_t MinuteSeconds = 60;
    if (seconds % HourSeconds == 0)
        return absl::StrCat(seconds / HourSeconds, "h");
    if (seconds % MinuteSeconds == 0)
        return absl::StrCat(seconds / MinuteSeconds, "m");
    return absl::StrCat(seconds, "s");
}

json metadataJson(const std::string &text)
{
    auto metadata = json::parse(text.empty() ? "null" : text, nullptr, false);
    return metadata.is_discarded() ? json(nullptr) : metadata;
}

// Builds the error of a failed item from its stored result.
json itemError(const json &stored)
{
    json error;
    error["code"] = "item_failed";
    error["message"] = "the item failed without an error message";
    const json *from = nullptr;
    if (stored.is_object() && stored.contains("error"))
        from = &stored["error"];
    else if (stored.is_object() && stored.contains("body") && stored["body"].is_object()
             && stored["body"].contains("error"))
        from = &stored["body"]["error"];
    if (from == nullptr || !from->is_object())
        return error;
    for (const char *field : {"code", "message"}) {
        if (from->contains(field) && (*from)[field].is_string())
            error[field] = (*from)[field];
    }
    return error;
}

} // namespace

file_id newFileId(std::uint64_t createdAtS, std::size_t bytes)
{
    return file_id(absl::StrCat("file-", createdAtS, "-", bytes, "-", randomId("")));
}

file_id resultFileId(const job_id &job, bool succeeded)
{
    return file_id(absl::StrCat(std::string(succeeded ? OutputPrefix : ErrorPrefix), job.value()));
}

result_file_name parseResultFile(const file_id &id)
{
    for (const bool succeeded : {true, false}) {
        const std::string_view prefix = succeeded ? OutputPrefix : ErrorPrefix;
        if (id.value().compare(0, prefix.size(), prefix) == 0)
            return {job_id(id.value().substr(prefix.size())), succeeded};
    }
    return {};
}

json inputFileJson(const input_file &file)
{
    return fileJson(file.id(), numberInId(file.id(), 2), numberInId(file.id(), 1), file.name(),
                    "batch");
}

json resultFileJson(const batch_job &job, bool succeeded)
{
    return fileJson(resultFileId(job.id, succeeded), 0, job.endedAtS,
                    absl::StrCat(job.id.value(), succeeded ? "_output.jsonl" : "_error.jsonl"),
                    "batch_output");
}

json jobJson(const batch_job &job)
{
    const job_state state = job.state();
    const bool completed = state == job_state::Completed;
    json view;
    view["id"] = job.id.value();
    view["object"] = "batch";
    view["endpoint"] = std::string(endpointPath(job.endpoint));
    view["model"] = job.model.value();
    view["errors"] = nullptr;
    view["input_file_id"] = job.inputFile.value();
    view["completion_window"] = windowText(job.completionWindowS);
    view["status"] = std::string(jobStateName(state));
    view["output_file_id"] = job.isEnded() && job.succeeded > 0
                                 ? json(resultFileId(job.id, true).value())
                                 : json(nullptr);
    view["error_file_id"] =
        job.isEnded() && job.failed > 0 ? json(resultFileId(job.id, false).value()) : json(nullptr);
    view["created_at"] = job.createdAtS;
    view["in_progress_at"] = job.createdAtS;
    view["expires_at"] = job.dueAtS();
    view["finalizing_at"] = timeOrNull(completed, job.endedAtS);
    view["completed_at"] = timeOrNull(completed, job.endedAtS);
    view["failed_at"] = nullptr;
    view["expired_at"] = nullptr;
    view["cancelling_at"] = timeOrNull(job.cancelled, job.endedAtS);
    view["cancelled_at"] = timeOrNull(job.cancelled, job.endedAtS);
    view["request_counts"]["total"] = job.itemCount();
    view["request_counts"]["completed"] = job.succeeded;
    view["request_counts"]["failed"] = job.failed;
    view["metadata"] = metadataJson(job.metadataJson);
    return view;
}

std::string resultLine(const schema::item_result_message &result)
{
    const auto stored = json::parse(result.data.begin(), result.data.end(), nullptr, false);
    json line;
    line["id"] = absl::StrCat("batch_req_", result.job_id, "_", result.item);
    line["custom_id"] = result.custom_id;
    if (result.outcome == schema::item_outcome::Succeeded) {
        line["response"] = stored;
        line["error"] = nullptr;
    } else {
        line["response"] =
            stored.is_object() && stored.contains("status_code") ? stored : json(nullptr);
        line["error"] = itemError(stored);
    }
    return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace tamarack
