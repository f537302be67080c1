// Validates submitted files and jobs by OpenAI's batch semantics and builds their log records.
#pragma once

#include <tamarackglade/jobs/input_file.hpp>
#include <tamarackglade/jobs/input_summary.hpp>
#include <tamarackglade/jobs/job_request.hpp>
#include <tamarackglade/jobs/submission_limits.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <string_view>
#include <vector>

namespace tamarack {

/// @return the path that every line's url must equal, such as "/v1/chat/completions"
std::string_view endpointPath(schema::job_endpoint endpoint);

/// @return the endpoint with this path, or InvalidArgument if there is none
absl::StatusOr<schema::job_endpoint> parseEndpoint(std::string_view path);

/// @brief Checks a JSON Lines input file: on each line an object with a unique custom_id, method
/// POST, the endpoint's url and a body that names the one model of the file.
/// @return the number of items and the model, or InvalidArgument that lists the errors by line, up
/// to submission_limits::maxReportedErrors
absl::StatusOr<input_summary> checkInput(std::string_view content, schema::job_endpoint endpoint,
                                         const submission_limits &limits);

/// @brief Parses a completion window such as "24h" or "30m", at most 7 days.
/// @return the window in seconds, or InvalidArgument
absl::StatusOr<std::uint32_t> parseCompletionWindow(std::string_view text);

/// @brief Splits a file at line ends into chunks, one batch per chunk. Equal content gives equal
/// chunks.
/// @return the batches, or InvalidArgument if the file or a line exceeds the limits
absl::StatusOr<std::vector<schema::log_batch_message>>
fileBatches(const file_id &id, const customer_id &customer, const std::string &filename,
            std::string_view content, const submission_limits &limits);

/// @return the digest that identifies resends of a job: the hash of the Idempotency-Key if there is
/// one, else of the input's content and the endpoint
std::uint64_t idempotencyDigest(std::string_view idempotencyKey, const input_file &input,
                                schema::job_endpoint endpoint);

/// @return the batch that accepts a job; equal requests give equal record ids
schema::log_batch_message acceptBatch(const job_request &request);

/// @brief Builds the batch that cancels a job.
/// @param wallS time of the request in seconds since the Unix epoch
/// @return the batch; equal job and requestId give equal record ids
schema::log_batch_message cancelBatch(const job_id &job, std::string_view requestId,
                                      std::uint64_t wallS);

} // namespace tamarack
