// Names one connection of a process; never used again after the connection closed.
#pragma once

#include <tamarackglade/core/strong_id.hpp>

#include <cstdint>

namespace tamarack {

using connection_id = strong_id<struct connection_tag, std::uint64_t>;

} // namespace tamarack
