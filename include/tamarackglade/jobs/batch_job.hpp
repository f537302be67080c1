// A batch job in the folded state of a partition.
#pragma once

#include <tamarackglade/jobs/job_state.hpp>
#include <tamarackglade/jobs/record_reference.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <string>
#include <vector>

namespace tamarack {

/// @brief An accepted job: its attributes and, for each item, a reference to the log record with
/// its result. A reference takes eight bytes.
struct batch_job
{
    job_id id;
    customer_id customer;
    std::uint64_t idempotencyDigest = 0;
    file_id inputFile;
    schema::job_endpoint endpoint = schema::job_endpoint::ChatCompletions;
    model_id model;
    std::uint64_t createdAtS = 0; // seconds since the Unix epoch, by the clock of the accepting VM
    std::uint32_t completionWindowS = 0;
    std::string metadataJson;
    record_reference acceptedAt; // defines the order of a customer's jobs
    // Seconds since the Unix epoch, by the clock of the VM that wrote the record that ended the
    // job; 0 while the job is in progress.
    std::uint64_t endedAtS = 0;
    bool cancelled = false;
    // Invariant: succeeded + failed is the number of set references; a reference is never unset.
    // The flag of a reference is true if the item succeeded.
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
