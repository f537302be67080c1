// The changes of a partition's state by one log batch.
#pragma once

#include <tamarackglade/jobs/item_key.hpp>
#include <tamarackglade/jobs/job_refusal.hpp>

#include <string>
#include <vector>

namespace tamarack {

struct fold_changes
{
    std::string recordId; // of the batch, also if the batch is a duplicate
    bool duplicate = false;
    bool epochChanged = false;
    std::vector<file_id> filesCompleted;
    std::vector<job_id> jobsAccepted;
    std::vector<job_refusal> jobsRefused;
    std::vector<job_id> jobsCancelled;
    std::vector<item_key> itemsFinished;
    std::vector<job_id> jobsEnded; // completed or cancelled
    std::vector<job_id> jobsRemoved;
};

} // namespace tamarack
