// Faults that test programs inject into the shell, the code around the core that performs I/O, to
// check that the end-to-end tests detect them.
#pragma once

#include <cstdint>

namespace tamarack {

enum class shell_mutation : std::uint8_t {
    None,
    IgnoreCustomer, // every valid key is attributed to the same customer
    AcceptAnyKey, // a request without a valid key runs for some customer
    ForwardKey, // upstreams receive the caller's key, in a header
    EndBrokenStream, // a broken stream ends in [DONE]
    KeepWithdrawnStream, // streams of a withdrawn key continue
    StopAtOnce, // a planned stop skips the drain and waits for nothing
    AcknowledgeUnlogged, // a job is acknowledged though the log doesn't hold it
    RunTwice, // each call runs a second time, and that answer is discarded
    IgnoreDrain, // a drained side still accepts calls
    AdmitAll // no rate limit is enforced
};

} // namespace tamarack
