// An accepted job as the fold knows it.
#pragma once

#include <tamarackglade/jobs/job_state.hpp>
#include <tamarackglade/jobs/record_reference.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A job's facts and, for each item, where its result lies: eight bytes an item.
struct batch_job
{
    job_id id;
    customer_id customer;
    std::uint64_t idempotencyDigest = 0;
    file_id inputFile;
    schema::job_endpoint endpoint = schema::job_endpoint::ChatCompletions;
    model_id model;
    std::uint64_t createdAtS = 0; // seconds since the Unix epoch, by the accepting VM
    std::uint32_t completionWindowS = 0;
    std::string metadataJson;
    record_reference acceptedAt; // orders a customer's jobs
    std::uint64_t endedAtS = 0; // by the VM that wrote the ending record; 0 while in progress
    bool cancelled = false;
    // Invariant: succeeded + failed is the number of set references; a set one never unsets.
    // A reference's flag says that the item succeeded.
    std::vector<record_reference> results;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;

    [[nodiscard]] std::uint32_t itemCount() const
    {
        return static_cast<std::uint32_t>(results.size());
    }
    [[nodiscard]] std::uint32_t openCount() const { return itemCount() - succeeded - failed; }
    [[nodiscard]] bool isEnded() const { return cancelled || openCount() == 0; }
    [[nodiscard]] bool hasResult(item_index item) const { return results[item.value()].isSet(); }
    [[nodiscard]] std::uint64_t dueAtS() const { return createdAtS + completionWindowS; }
    [[nodiscard]] job_state state() const;
};

} // namespace tamarack
