// Decision on a request with an Idempotency-Key.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/calls/replay_answer.hpp>
#include <tamarackglade/calls/run_keyed.hpp>

#include <variant>

namespace tamarack {

/// @brief The request runs now, gets the stored answer of its key, or is refused.
using keyed_verdict = std::variant<run_keyed, replay_answer, call_error>;

} // namespace tamarack
