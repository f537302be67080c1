// Limits of caller connections.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Size limits and timeouts of a caller's connection.
struct caller_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(75);
};

} // namespace tamarack
