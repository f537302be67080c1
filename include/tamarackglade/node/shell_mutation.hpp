// Faults that test programs plant in the shell, to show that the end-to-end checks can fail.
#pragma once

#include <cstdint>

namespace tamarack {

enum class shell_mutation : std::uint8_t {
    None,
    IgnoreCustomer, // every valid key counts as one customer's
    AcceptAnyKey, // a request without a valid key runs for some customer
    ForwardKey, // upstreams get the caller's Authorization header
    EndBrokenStream, // a broken stream ends in [DONE]
    KeepWithdrawnStream, // a withdrawn key's streams go on
    StopAtOnce, // a planned stop waits for nothing
    AcknowledgeUnlogged, // a job is acknowledged that the log doesn't hold
    RunTwice, // each call runs a second time, whose answer nobody gets
    IgnoreDrain, // a drained side takes calls as before
    AdmitAll // no rate limit
};

} // namespace tamarack
