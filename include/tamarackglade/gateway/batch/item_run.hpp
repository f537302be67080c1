// State of a batch item at the gateway that runs it.
#pragma once

#include <tamarackglade/batches/batch_id.hpp>
#include <tamarackglade/buffers/byte_quota.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/quarantine/request_fingerprint.hpp>
#include <tamarackglade/resumption/stream_origin.hpp>
#include <tamarackglade/schema/batches_generated.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Copy of an item's values from the fold at its start, as the fold may change meanwhile.
struct item_work
{
    batch_item_key key;
    request_id request; // request id of all its runs
    std::string host; // Host header of the job's request
    duration retention{}; // after this time since acceptance it is abandoned; zero for never
    time_point seenAt{}; // when this gateway first read the job
    std::size_t failedRuns = 0;
};

/// @brief Progress of an item at this gateway, over all of its runs.
struct item_progress
{
    std::optional<schema::batch_item_message> content; // the request to send
    // Parts of the prompt that other requests may share; valid if content is set.
    std::vector<prompt_part_id> sharedParts;
    request_fingerprint fingerprint; // valid if content is set
    bool reading = false; // the content is being read
    unsigned failedReads = 0; // of the content
    std::string text; // output of the events so far
    std::unique_ptr<byte_quota::share> textShare; // counts the text; set with its first event
    unsigned longTexts = 0; // texts that were discarded as there was no room for them
    std::optional<std::uint64_t> lastEvent;
    std::optional<stream_origin> origin; // of the text; set by its first event
    // Since when it waits for a slot at the version of the origin. After the time that the text has
    // taken so far, writing it anew costs no more than waiting.
    std::optional<time_point> waitsSince;
    duration writingTime{}; // of the runs that wrote the text
    bool isUnfinished = false; // a run broke off inside the event after lastEvent
    unsigned emptyResumes = 0; // runs in a row that ended in order without an event
    unsigned earlyFailures = 0; // runs in a row that failed before their first event
    time_point startableAt{}; // after such a run or read; not started before

    /// @brief Discards the output, so that the next run begins anew.
    void restart()
    {
        text = std::string();
        textShare.reset();
        lastEvent.reset();
        isUnfinished = false;
        emptyResumes = 0;
        origin.reset();
        waitsSince.reset();
        writingTime = duration::zero();
    }
};

/// @brief A run in progress.
struct item_run
{
    upstream_id upstream;
    software_version version; // of the upstream
    attempt_handle handle;
    std::size_t events = 0; // events received in this run
    bool yielding = false; // the run was cancelled and will release its slot
    bool holdsSlot = true;
};

} // namespace tamarack
