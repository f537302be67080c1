// One entry VM of the simulated fleet with the objects of one partition, connected as in an entry.
#pragma once

#include "support/jobs_fake_log.hpp"
#include <tamarackglade/jobs/append_queue.hpp>
#include <tamarackglade/jobs/claim_policy.hpp>
#include <tamarackglade/jobs/job_submission.hpp>
#include <tamarackglade/jobs/partition_owner.hpp>
#include <tamarackglade/jobs/retention_planner.hpp>
#include <tamarackglade/jobs/snapshot_finder.hpp>
#include <tamarackglade/jobs/submission_tracker.hpp>

#include <list>
#include <memory>

namespace tamarack::test {

/// A caller's submission at an entry: uploads the file, then submits the job.
struct simulation_submission
{
    std::string customer;
    std::string key;
    std::string content;
    file_id file;
    bool killAfterwards = false;
    append_queue uploads{std::chrono::milliseconds(300), std::chrono::seconds(2)};
    std::optional<submission_tracker> tracker;
    bool isDone = false;
};

struct simulation_entry
{
    vm_id vm;
    incarnation_number incarnation{1};
    time_point restartAt{}; // the entry does not run before this time
    time_point pausedUntil{};
    std::unique_ptr<partition_fold> fold;
    std::unique_ptr<partition_owner> owner;
    std::unique_ptr<retention_planner> planner;
    std::unique_ptr<claim_policy> policy;
    std::list<simulation_submission> submissions;

    [[nodiscard]] bool isAlive(time_point now) const { return now >= restartAt; }
    [[nodiscard]] bool isRunning(time_point now) const
    {
        return isAlive(now) && now >= pausedUntil;
    }

    /// Drops all state, as on the loss of the VM.
    void reset()
    {
        owner.reset();
        planner.reset();
        policy.reset();
        submissions.clear();
        fold.reset();
    }
};

} // namespace tamarack::test
