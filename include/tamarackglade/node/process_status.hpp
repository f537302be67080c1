// The status of a process, as operators see it.
#pragma once

#include <tamarackglade/node/side_status.hpp>
#include <tamarackglade/orders/tracked_order.hpp>
#include <tamarackglade/wire/peer_identity.hpp>

#include <deque>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The content of the admin page /status and of the wire message status_answer.
struct process_status
{
    peer_identity self;
    log_offset configOffset; // 0 without a configuration
    log_offset manifestOffset; // 0 without a manifest
    bool serving = false;
    bool draining = false;
    std::size_t partitionsOwned = 0;
    std::size_t requests = 0; // in progress
    std::vector<side_status> sides; // sides that this process is connected to
    std::deque<tracked_order> orders; // of a side only, in order of their fencing numbers

    /// @return the JSON text
    [[nodiscard]] std::string toJson() const;
};

} // namespace tamarack
