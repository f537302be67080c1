// How the attempt ledger classifies an arriving start_call.
#pragma once

namespace tamarack {

enum class dedup_result {
    New, // first seen now; it is recorded as pending
    Duplicate, // pending, running or finished here
    Refused, // proved never to start
    Unknown // evicted, or sent to an earlier incarnation: it may have run
};

} // namespace tamarack
