// What a read of a log stream gives.
#pragma once

#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <vector>

namespace tamarack {

/// @brief Entries in order of offset, and the bounds of what the stream retains.
struct log_read
{
    log_offset firstRetained;
    log_offset next; // the offset that the next append will get
    std::vector<log_entry> entries;
    time_point requestedAt; // when the read was sent
};

} // namespace tamarack
