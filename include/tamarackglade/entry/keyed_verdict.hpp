// What becomes of a request with an Idempotency-Key.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/calls/replay_answer.hpp>
#include <tamarackglade/calls/run_keyed.hpp>

#include <variant>

namespace tamarack {

/// The request runs now, gets the answer that its key already has, or is refused.
using keyed_verdict = std::variant<run_keyed, replay_answer, call_error>;

} // namespace tamarack
