// An action of the rate limits: send a message to another entry.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <variant>

namespace tamarack {

/// @brief The messages between the limiters of two entries.
using limit_message = std::variant<schema::loan_request_message, schema::loan_grant_message,
                                   schema::lease_ping_message, schema::lease_ack_message,
                                   schema::homes_request_message, schema::homes_snapshot_message>;

/// @brief Sends body as one frame, which may be lost, duplicated, delayed or reordered.
struct send_limit_message
{
    vm_id to;
    limit_message body;
};

} // namespace tamarack
