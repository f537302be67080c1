// Action: pass a part of the answer to the caller.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

struct caller_data
{
    request_id request;
    std::vector<std::uint8_t> data;
};

} // namespace tamarack
