// Limits on the attempts that the attempt ledger keeps.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

struct ledger_limits
{
    duration retention = std::chrono::minutes(10); // of settled attempts
    std::size_t maxSettledPerSender = 4096;
};

} // namespace tamarack
