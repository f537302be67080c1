// The result of a read of the order stream.
#pragma once

#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

struct orders_read
{
    std::vector<log_entry> entries; // may include entries that were read before
    bool atEnd = false; // no entries followed them when they were read
    time_point requestedAt; // when the read was sent
    std::uint64_t wallSeconds = 0; // Unix time by this machine's clock
};

} // namespace tamarack
