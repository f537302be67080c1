// Failures of calls.
#pragma once

namespace tamarack {

/// @brief Reasons why a call ended without a complete answer.
enum class call_failure {
    NoUpstream, // no connected upstream accepts the call
    Overloaded, // upstreams refused the call
    DeadlinePassed,
    UpstreamFailed,
    ConnectionLost, // the connection to the side process was lost with the call in flight
    AnswerBroken, // the answer had begun and did not end
    CallerDisconnected,
    Stopping, // this process is stopping
    Duplicate, // the Idempotency-Key was used before
    KeyReused, // the Idempotency-Key came with another request
    LogUnavailable // a call with an Idempotency-Key can't be recorded
};

} // namespace tamarack
