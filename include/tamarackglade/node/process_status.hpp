// What a process says of itself to operators.
#pragma once

#include <tamarackglade/node/side_status.hpp>
#include <tamarackglade/orders/tracked_order.hpp>
#include <tamarackglade/wire/peer_identity.hpp>

#include <deque>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The content of the admin page /status and of the wire's status_answer.
struct process_status
{
    peer_identity self;
    log_offset configOffset; // 0: none yet
    log_offset manifestOffset; // 0: none yet
    bool serving = false;
    bool draining = false;
    std::size_t partitionsOwned = 0;
    std::size_t requests = 0; // under way
    std::vector<side_status> sides; // that this process is connected to
    std::deque<tracked_order> orders; // of a side, in order of their fences

    /// @return the JSON text
    [[nodiscard]] std::string toJson() const;
};

} // namespace tamarack
