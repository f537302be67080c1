// What the call tracker asks its shell to do, in order.
#pragma once

#include <tamarackglade/calls/answer_data.hpp>
#include <tamarackglade/calls/answer_end.hpp>
#include <tamarackglade/calls/answer_head.hpp>
#include <tamarackglade/calls/send_cancel.hpp>
#include <tamarackglade/calls/send_refuse.hpp>
#include <tamarackglade/calls/send_start.hpp>

#include <variant>
#include <vector>

namespace tamarack {

using call_action =
    std::variant<send_start, send_cancel, send_refuse, answer_head, answer_data, answer_end>;
using call_actions = std::vector<call_action>;

} // namespace tamarack
