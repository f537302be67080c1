// What a process says of itself to operators.
#pragma once

#include <tamarackglade/node/side_status.hpp>
#include <tamarackglade/wire/peer_identity.hpp>

#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief The content of the admin page /status and of the wire's status_answer.
struct process_status
{
    peer_identity self;
    // Both offsets are absent in a process that holds no configuration, as sides do.
    std::optional<log_offset> configOffset;
    std::optional<log_offset> manifestOffset;
    bool serving = false;
    bool draining = false;
    std::size_t partitionsOwned = 0;
    std::size_t requests = 0; // under way
    std::vector<side_status> sides; // that this process is connected to

    /// @return the JSON text
    [[nodiscard]] std::string toJson() const;
};

} // namespace tamarack
