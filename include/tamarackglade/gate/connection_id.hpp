// Identifies a connection of a process. An id is not reused after its connection has closed.
#pragma once

#include <tamarackglade/core/strong_id.hpp>

#include <cstdint>

namespace tamarack {

using connection_id = strong_id<struct connection_tag, std::uint64_t>;

} // namespace tamarack
