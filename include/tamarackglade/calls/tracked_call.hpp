// A call that the tracker has not answered yet.
#pragma once

#include <tamarackglade/calls/call_failure.hpp>
#include <tamarackglade/calls/tracked_request.hpp>
#include <tamarackglade/core/ids.hpp>

#include <cstddef>
#include <vector>

namespace tamarack {

struct tracked_call
{
    enum class phase {
        InFlight, // the attempt was sent on a connection that stands
        AwaitingSide, // the connection was lost; its side has to prove what happened
        AwaitingProof, // refuse_attempt was sent
        Idle // no attempt is under way
    };

    tracked_request request;
    phase currentPhase = phase::Idle;
    attempt_id attempt; // the present one
    upstream_id upstream; // of the present attempt
    incarnation_number sideIncarnation; // of the present attempt
    std::size_t attempts = 0;
    std::vector<upstream_id> tried;
    // Whether an earlier attempt may have run, or has; never goes back to false.
    bool mayHaveRun = false;
    bool headSent = false; // implies that the call ran
    time_point due{}; // when the tracker acts on it unasked
    duration retryAfter{}; // the latest that a side named
};

} // namespace tamarack
