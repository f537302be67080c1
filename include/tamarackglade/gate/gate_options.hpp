// Options of the gate of one upstream.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/admission_limits.hpp>
#include <tamarackglade/gate/gate_mutation.hpp>
#include <tamarackglade/gate/ledger_limits.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <cstddef>
#include <string>

namespace tamarack {

struct gate_options
{
    std::string group;
    schema::upstream_kind kind = schema::upstream_kind::Engine;
    duration tokenGapTarget = std::chrono::milliseconds(76);
    duration firstTokenTarget = std::chrono::milliseconds(360);
    // From 0 (batch may use the whole token gap target) to 1 (batch adds at most 5% to the gap).
    double onlineProtection = 0.5;
    duration priorBase = std::chrono::milliseconds(8); // iteration time without streams
    duration priorPerStream = std::chrono::microseconds(650); // iteration time added by a stream
    std::size_t maxStreams = 256; // online and batch together
    duration batchGrowthDelay = std::chrono::milliseconds(100); // after a batch stream had to yield
    duration maxParkedAge = std::chrono::seconds(30); // of a parked batch call
    // Batch credits are shared among the connections that sent a batch call in this window.
    duration interestWindow = std::chrono::seconds(10);
    duration reportInterval = std::chrono::milliseconds(250);
    admission_limits queue;
    ledger_limits ledger;
    gate_mutation mutation = gate_mutation::None;
};

} // namespace tamarack
