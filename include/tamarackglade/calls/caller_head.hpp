// Action: begin the answer to the caller.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

struct caller_head
{
    request_id request;
    std::uint16_t status = 0; // HTTP
    std::string contentType;
};

} // namespace tamarack
