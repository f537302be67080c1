// What an owner remembers of items that were tried and have no result yet.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

struct item_retries
{
    std::uint32_t started = 0; // attempts started; numbers them
    std::uint32_t failures = 0; // attempts that started and failed
    std::uint32_t crashes = 0; // workers lost with the item in flight
    upstream_id lastUpstream;
};

} // namespace tamarack
