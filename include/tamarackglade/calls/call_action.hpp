// What the call tracker asks its shell to do, in order.
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

using call_action =
    std::variant<send_start, send_cancel, send_refuse, caller_head, caller_data, caller_end>;
using call_actions = std::vector<call_action>;

} // namespace tamarack
