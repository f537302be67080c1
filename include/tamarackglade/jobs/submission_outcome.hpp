// What may truthfully be said of a submitted job.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/jobs/job_refusal.hpp>

#include <cstdint>

namespace tamarack {

enum class submission_state : std::uint8_t {
    Waiting,
    Accepted, // the fold shows the job
    Existing, // the fold shows an earlier job with the same digest
    Refused, // the fold voided the record: it is not a job and won't become one by it
    NotWritten, // no append of it can have taken effect
    Unknown, // it may or may not become a job; a resend is safe
};

struct submission_outcome
{
    submission_state state = submission_state::Waiting;
    job_id job; // set if Accepted or Existing
    refusal_reason reason = refusal_reason::SameJobExists; // set if Refused
};

} // namespace tamarack
