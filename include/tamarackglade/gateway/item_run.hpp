// A batch item at the gateway that runs it.
#pragma once

#include <tamarackglade/gateway/upstream_caller.hpp>
#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/schema/batches_generated.h>

#include <optional>
#include <string>

namespace tamarack {

/// @brief What the fold tells of an item when it is taken up; the fold may change meanwhile.
struct item_work
{
    item_key key;
    request_id request; // of its runs
    customer_id customer;
    std::string host; // that the job came to
    duration retention{}; // zero for never
    time_point seenAt{}; // of the job
    std::size_t failedRuns = 0;
};

/// @brief What an item has got here so far, over all of its runs.
struct item_progress
{
    std::optional<schema::batch_item_message> content; // what its runs send
    bool reading = false; // the content is being read
    std::string text; // of the events so far
    std::optional<std::uint64_t> lastEvent;

    /// @brief Begins anew, after a failed run.
    void restart()
    {
        text.clear();
        lastEvent.reset();
    }
};

/// @brief A run under way.
struct item_run
{
    upstream_id upstream;
    attempt_handle handle;
    std::size_t events = 0; // of this run
    bool yielding = false; // it gives its slot up
    bool holdsSlot = true;
};

} // namespace tamarack
