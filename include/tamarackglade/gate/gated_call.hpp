// A call in the gate: queued, running or parked.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/call_attempt_name.hpp>
#include <tamarackglade/gate/connection_id.hpp>
#include <tamarackglade/gate/upstream_run.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <cstdint>
#include <optional>

namespace tamarack {

struct gated_call
{
    enum class phase { Queued, Running, Parked };

    [[nodiscard]] bool isBatch() const { return call.call_class == schema::call_class::Batch; }
    [[nodiscard]] bool mustRunAlone() const { return isBatch() && call.alone; }
    [[nodiscard]] bool wasOpened() const { return runNumber > 0; }
    [[nodiscard]] upstream_run run() const { return {attempt_id(call.attempt), runNumber}; }

    schema::start_call_message call;
    call_attempt_name name;
    connection_id connection;
    phase current = phase::Queued;
    std::uint32_t runNumber = 0; // number of runs at the upstream so far
    bool headSent = false;
    std::uint64_t dataFramesSent = 0; // to the caller, over all runs
    std::uint64_t transition = 0; // orders calls by when they last started or were parked
    time_point parkedUntil{}; // valid only in phase Parked
    std::optional<time_point> lastDataAt; // in the current run
};

} // namespace tamarack
