// One append as it is read from a stream of the log.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>

namespace tamarack {

struct log_entry
{
    log_offset offset;
    std::string payload;
};

} // namespace tamarack
