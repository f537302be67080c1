// What a read of a log stream gives.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief One stored payload and its offset.
struct log_entry
{
    log_offset offset;
    std::string payload;
};

/// @brief Entries in order of offset, and the bounds of what the stream retains.
struct log_read
{
    log_offset firstRetained;
    log_offset next; // the offset that the next append will get
    std::vector<log_entry> entries;
};

} // namespace tamarack
