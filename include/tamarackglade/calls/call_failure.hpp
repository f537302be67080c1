// Why a call ended without its whole answer.
#pragma once

namespace tamarack {

enum class call_failure {
    NoUpstream, // none is connected and willing
    Overloaded, // upstreams refused it
    DeadlinePassed,
    UpstreamFailed,
    ConnectionLost, // to the side process, with the call in flight
    AnswerBroken, // the answer had begun
    CallerDisconnected,
    Stopping, // this process
    Duplicate, // the Idempotency-Key was used before
    KeyReused, // the Idempotency-Key came with another request
    LogUnavailable // a call with an Idempotency-Key can't be recorded
};

} // namespace tamarack
