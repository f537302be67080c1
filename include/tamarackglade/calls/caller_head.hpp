// An action of the call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Begins the answer to the caller.
struct caller_head
{
    request_id request;
    std::uint16_t status = 0; // HTTP
    std::string contentType;
};

} // namespace tamarack
