// The reason why the fold rejected a job_accepted record.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

enum class refusal_reason : std::uint8_t {
    SameJobExists, // job_refusal::existing is the job with the same digest
    FileNotComplete,
    ItemCountWrong,
    IdTaken,
};

struct job_refusal
{
    job_id job;
    refusal_reason reason = refusal_reason::SameJobExists;
    job_id existing; // set if reason is SameJobExists
};

} // namespace tamarack
