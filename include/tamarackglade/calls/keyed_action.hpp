// The actions of the keyed-call tracker.
#pragma once

#include <tamarackglade/calls/append_finished.hpp>
#include <tamarackglade/calls/append_started.hpp>
#include <tamarackglade/calls/caller_end.hpp>
#include <tamarackglade/calls/replay_answer.hpp>
#include <tamarackglade/calls/run_keyed.hpp>

#include <variant>
#include <vector>

namespace tamarack {

/// @brief An action that the owner of a keyed_call_tracker has to carry out.
using keyed_action =
    std::variant<append_started, append_finished, run_keyed, replay_answer, caller_end>;
/// @brief Actions in the order in which they have to be carried out.
using keyed_actions = std::vector<keyed_action>;

} // namespace tamarack
