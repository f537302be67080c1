// An action of the call tracker.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

/// @brief Passes a part of the answer to the caller.
struct caller_data
{
    request_id request;
    std::vector<std::uint8_t> data;
};

} // namespace tamarack
