// A call that the tracker has not answered yet.
#pragma once

#include <tamarackglade/calls/call_failure.hpp>
#include <tamarackglade/calls/tracked_request.hpp>
#include <tamarackglade/core/ids.hpp>

#include <cstddef>
#include <vector>

namespace tamarack {

/// @brief A request, its current attempt and what is proved about its execution.
struct tracked_call
{
    enum class phase {
        InFlight, // the attempt was sent on a connection that is still open
        AwaitingSide, // the connection was lost; the side process has to prove what happened
        AwaitingProof, // refuse_attempt was sent and not answered yet
        Idle // no attempt is under way
    };

    tracked_request request;
    phase currentPhase = phase::Idle;
    attempt_id attempt; // the current or last one
    upstream_id upstream; // of attempt
    incarnation_number sideIncarnation; // of attempt
    std::size_t attempts = 0;
    std::vector<upstream_id> tried;
    // Whether an earlier attempt has run or may have run; never reset to false.
    bool mayHaveRun = false;
    bool headSent = false; // implies that the call ran
    time_point due{}; // when tick() has to handle the call
    duration retryAfter{}; // the last value received from a side process
};

} // namespace tamarack
