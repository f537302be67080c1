// A validated request to create a batch job.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <cstdint>
#include <string>

namespace tamarack {

struct job_request
{
    job_id id; // used unless a job with the same digest exists
    customer_id customer;
    std::uint64_t idempotencyDigest = 0;
    file_id inputFile;
    schema::job_endpoint endpoint = schema::job_endpoint::ChatCompletions;
    model_id model;
    std::uint32_t itemCount = 0;
    std::uint64_t createdAtS = 0; // seconds since the Unix epoch
    std::uint32_t completionWindowS = 0;
    std::string metadataJson;
};

} // namespace tamarack
