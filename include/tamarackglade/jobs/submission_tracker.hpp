// Tracks one job_accepted record until its outcome is known.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/jobs/append_outcome.hpp>
#include <tamarackglade/jobs/fold_changes.hpp>
#include <tamarackglade/jobs/job_request.hpp>
#include <tamarackglade/jobs/partition_fold.hpp>
#include <tamarackglade/jobs/submission_outcome.hpp>
#include <tamarackglade/schema/records.hpp>

#include <optional>

namespace tamarack {

/// @brief Appends the record with retries under one record id and reports acceptance only when the
/// fold shows it. The outcome does not change once it is no longer Waiting.
class submission_tracker
{
public:
    struct timing
    {
        duration retryDelay = std::chrono::milliseconds(300);
        duration appendTimeout = std::chrono::seconds(2);
        // NotWritten if all appends are known to have failed and this much time has passed.
        duration failureTimeout = std::chrono::milliseconds(500);
        duration answerTimeout = std::chrono::seconds(10); // then Unknown or NotWritten
    };

    submission_tracker(const partition_fold &fold, job_request request, timing times,
                       time_point now);

    /// @return the batch to append now, if any
    std::optional<schema::log_batch_message> next(time_point now);
    void onAppendResult(append_outcome outcome, time_point now);
    void onFolded(const fold_changes &changes);
    void tick(time_point now);

    [[nodiscard]] const submission_outcome &outcome() const { return m_outcome; }
    [[nodiscard]] const job_request &request() const { return m_request; }

private:
    job_request m_request;
    timing m_times;
    schema::log_batch_message m_batch;
    submission_outcome m_outcome;
    time_point m_startedAt;
    time_point m_answerDeadline;
    std::optional<time_point> m_retryAt;
    bool m_inFlight = false;
    bool m_mayBeWritten = false; // the result of an append was Ok, Unknown or missing
};

} // namespace tamarack
