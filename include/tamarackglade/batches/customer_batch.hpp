// State of a batch job as folded from the records of its partition.
#pragma once

#include <tamarackglade/batches/batch_id.hpp>
#include <tamarackglade/batches/content_place.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief State of a batch item.
enum class batch_item_state {
    Waiting, // no record that finishes it has been read
    Done,
    Abandoned // never run again
};

/// @brief One item of a job.
struct batch_job_item
{
    std::string id; // also the id of its request at the upstream
    std::uint64_t tokens = 0;
    content_place content; // an encoded batch_item, the request that its runs send
    batch_item_state state = batch_item_state::Waiting;
    std::map<std::string, upstream_id> failedRuns; // upstreams by name of the run
    time_point lastFailedAt{}; // when this process read the record of the last failed run
    content_place output; // empty unless Done
};

/// @brief A job, its items and the order of its results.
struct customer_batch
{
    batch_id id;
    std::string routeName;
    std::string host;
    duration completionObjective{}; // from the acceptance
    duration retention{}; // from the acceptance; zero for no limit
    unsigned attempts = 1; // number of failed runs after which an item is abandoned
    time_point firstReadAt{}; // when this process read the acceptance of the job
    bool ended = false; // by its customer; no more items are started
    std::vector<batch_job_item> items;
    std::vector<std::size_t> results; // indexes of finished items, in the order of their records

    /// @return whether the job has unfinished items and wasn't ended
    [[nodiscard]] bool open() const { return !ended && results.size() < items.size(); }
};

} // namespace tamarack
