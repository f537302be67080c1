// The actions of the call tracker.
#pragma once

#include <tamarackglade/calls/caller_data.hpp>
#include <tamarackglade/calls/caller_end.hpp>
#include <tamarackglade/calls/caller_head.hpp>
#include <tamarackglade/calls/send_cancel.hpp>
#include <tamarackglade/calls/send_refuse.hpp>
#include <tamarackglade/calls/send_start.hpp>

#include <variant>
#include <vector>

namespace tamarack {

/// @brief An action that the owner of a call_tracker has to carry out.
using call_action =
    std::variant<send_start, send_cancel, send_refuse, caller_head, caller_data, caller_end>;
/// @brief Actions in the order in which they have to be carried out.
using call_actions = std::vector<call_action>;

} // namespace tamarack
