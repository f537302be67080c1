// State of a batch job.
#include <tamarackglade/jobs/batch_job.hpp>

namespace tamarack {

job_state batch_job::state() const
{
    if (cancelled)
        return job_state::Cancelled;
    return openCount() == 0 ? job_state::Completed : job_state::InProgress;
}

} // namespace tamarack
