// Callers' operations on files and batch jobs.
#pragma once

#include <tamarackglade/entry/api_error.hpp>
#include <tamarackglade/entry/job_service.hpp>
#include <tamarackglade/jobs/job_request.hpp>
#include <tamarackglade/jobs/submission_limits.hpp>
#include <tamarackglade/node/shell_mutation.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <variant>
#include <vector>

namespace tamarack {

/// @brief A value, or the error to send to the caller.
template <class Value>
using api_result = std::variant<Value, api_error>;

/// @brief A caller's request to run a batch job.
struct batch_request
{
    file_id inputFile;
    std::string endpoint; // path
    std::string completionWindow; // such as "24h"
    std::string metadataJson;
    std::string idempotencyKey; // "" if none was sent
};

/// @brief Part of a file's content.
struct content_part
{
    std::string bytes;
    std::size_t next = 0; // the `from` of the next call
    bool last = false;
};

/// @brief Operations on one customer's files and jobs. Used on the control thread only; each may
/// wait for the log. JSON results have the fields of OpenAI's API.
class job_controller
{
public:
    using json = nlohmann::ordered_json;

    job_controller(job_service &jobs, config_store &config, submission_limits limits,
                   shell_mutation mutation = shell_mutation::None);

    /// @brief Stores an input file in the log and waits until it can be read.
    api_result<json> upload(const customer_id &customer, const std::string &filename,
                            std::string_view content);
    api_result<json> showFile(const customer_id &customer, const file_id &file);
    api_result<json> listFiles(const customer_id &customer);
    /// @brief Reads one part of an input or result file.
    /// @param from 0 for the first part, then content_part::next of the previous part
    api_result<content_part> readContent(const customer_id &customer, const file_id &file,
                                         std::size_t from);
    /// @brief Checks and submits a batch job; a repeated idempotency key returns the existing job.
    api_result<json> create(const customer_id &customer, const batch_request &batchRequest);
    api_result<json> show(const customer_id &customer, const job_id &job);
    /// @brief Lists jobs, newest first.
    /// @param after the id of the job before the first one returned, or ""
    api_result<json> list(const customer_id &customer, const std::string &after, std::size_t limit);
    /// @brief Cancels a job and waits until it has ended.
    api_result<json> cancel(const customer_id &customer, const job_id &job);

private:
    /// @return the runner of the customer's partition, or an error while its jobs are being read
    api_result<partition_runner *> readyRunner(const customer_id &customer);
    /// @brief Like readyRunner, for reads: its fold is current if the log answers.
    api_result<partition_runner *> currentRunner(const customer_id &customer);
    api_result<job_request> checkRequest(const customer_id &customer,
                                         const batch_request &batchRequest,
                                         partition_runner &runner);
    api_result<std::string> inputContent(partition_runner &runner, const file_id &file);
    api_result<content_part> inputPart(partition_runner &runner, const input_file &file,
                                       std::size_t from);
    api_result<content_part> resultPart(partition_runner &runner, const job_id &job, bool succeeded,
                                        std::size_t from);
    std::optional<api_error> storeChunk(partition_runner &runner,
                                        const schema::log_batch_message &batch);
    api_result<json> submit(partition_runner &runner, const job_request &request);

    job_service &m_jobs;
    config_store &m_config;
    submission_limits m_limits;
    const shell_mutation m_mutation;
};

} // namespace tamarack
