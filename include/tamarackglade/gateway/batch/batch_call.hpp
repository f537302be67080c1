// Requests about batch jobs, decoded from the platform's protocol.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

namespace tamarack {

/// Reads results from a position on; may wait for the first of them.
struct read_results_call
{
    job_id job;
    std::size_t from = 0;
    std::chrono::milliseconds wait{0};
};

/// Reads the request body of an unfinished item.
struct read_item_call
{
    job_id job;
    std::string item;
};

/// Ends a job.
struct end_batch_call
{
    job_id job;
};

/// A request about an existing job.
using batch_call = std::variant<read_results_call, read_item_call, end_batch_call>;

} // namespace tamarack
