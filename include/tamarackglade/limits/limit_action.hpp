// The actions of the rate limits.
#pragma once

#include <tamarackglade/limits/admit_ticket.hpp>
#include <tamarackglade/limits/append_claim.hpp>
#include <tamarackglade/limits/refuse_ticket.hpp>
#include <tamarackglade/limits/send_limit_message.hpp>

#include <variant>

namespace tamarack {

/// @brief An action that the owner of a fleet_limiter has to carry out.
using limit_action = std::variant<admit_ticket, refuse_ticket, send_limit_message, append_claim>;

} // namespace tamarack
