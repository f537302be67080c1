// Retry counters of an item.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Counts the attempts of an item that was started and has no final result yet.
struct item_retries
{
    std::uint32_t started = 0; // attempts started; the number of the last one
    std::uint32_t failures = 0; // attempts that ran and failed
    std::uint32_t crashes = 0; // attempts whose engine or side process ended
    upstream_id lastUpstream;
};

} // namespace tamarack
