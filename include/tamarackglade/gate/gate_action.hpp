// The actions that the gate returns; the side process performs them in order.
#pragma once

#include <tamarackglade/gate/abort_upstream.hpp>
#include <tamarackglade/gate/open_upstream.hpp>
#include <tamarackglade/gate/send_frame.hpp>

#include <variant>
#include <vector>

namespace tamarack {

using gate_action = std::variant<open_upstream, abort_upstream, send_frame>;
using gate_actions = std::vector<gate_action>;

} // namespace tamarack
