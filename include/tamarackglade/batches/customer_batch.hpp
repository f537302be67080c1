// A batch job as the records of its partition tell.
#pragma once

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

enum class batch_item_state {
    Waiting, // not finished, as far as the records tell
    Done,
    Abandoned // given up; will never be done
};

/// @brief One item of a job.
struct batch_job_item
{
    std::string id; // also its request's id at the upstream
    std::uint64_t tokens = 0;
    content_place content; // of a batch_item: what its runs send
    batch_item_state state = batch_item_state::Waiting;
    std::map<std::string, upstream_id> failedRuns; // by the run's name, where it failed
    time_point lastFailedAt{}; // when this process read of the last failed run
    content_place output; // of a done item
};

/// @brief A job, its items and the order of its results.
struct customer_batch
{
    job_id id;
    customer_id customer;
    std::string routeName;
    std::string host;
    duration completionObjective{}; // from the acceptance
    duration retention{}; // from the acceptance; zero for never
    unsigned attempts = 1; // failed runs after which an item is given up
    time_point firstReadAt{}; // when this process first read of it
    bool ended = false; // by its customer: nothing more is started
    std::vector<batch_job_item> items;
    std::vector<std::size_t> results; // indexes of finished items, in the order of the records

    /// @return whether an item is left to run
    [[nodiscard]] bool open() const { return !ended && results.size() < items.size(); }
};

} // namespace tamarack
