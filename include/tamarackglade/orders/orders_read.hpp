// Appends read from the stream of orders.
#pragma once

#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <vector>

namespace tamarack {

struct orders_read
{
    std::vector<log_entry> entries; // may repeat ones that were read before
    bool atEnd = false; // nothing followed them
    time_point requestedAt; // when the read was sent
    std::uint64_t wallSeconds = 0; // this machine's wall clock
};

} // namespace tamarack
