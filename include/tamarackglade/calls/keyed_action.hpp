// What the keyed-call tracker asks its shell to do, in order.
#pragma once

#include <tamarackglade/calls/append_finished.hpp>
#include <tamarackglade/calls/append_started.hpp>
#include <tamarackglade/calls/caller_end.hpp>
#include <tamarackglade/calls/replay_answer.hpp>
#include <tamarackglade/calls/run_keyed.hpp>

#include <variant>
#include <vector>

namespace tamarack {

using keyed_action =
    std::variant<append_started, append_finished, run_keyed, replay_answer, caller_end>;
using keyed_actions = std::vector<keyed_action>;

} // namespace tamarack
