// Why the fold didn't count a job_accepted record.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

enum class refusal_reason : std::uint8_t {
    SameJobExists, // existing names the job that this one repeats
    FileNotComplete,
    ItemCountWrong,
    IdTaken,
};

struct job_refusal
{
    job_id job;
    refusal_reason reason = refusal_reason::SameJobExists;
    job_id existing;
};

} // namespace tamarack
