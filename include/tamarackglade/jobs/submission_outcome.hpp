// The outcome of a job submission, as far as it is known.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/jobs/job_refusal.hpp>

#include <cstdint>

namespace tamarack {

enum class submission_state : std::uint8_t {
    Waiting,
    Accepted, // the fold contains the job
    Existing, // the fold contains an earlier job with the same digest
    Refused, // the fold rejected the record; it will never create a job
    NotWritten, // no append of the record can have reached the log
    Unknown, // the job may or may not be created; a resend is safe
};

struct submission_outcome
{
    submission_state state = submission_state::Waiting;
    job_id job; // set if Accepted or Existing
    refusal_reason reason = refusal_reason::SameJobExists; // set if Refused
};

} // namespace tamarack
