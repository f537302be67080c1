// What stands behind the side processes of a group.
#pragma once

#include <cstdint>

namespace tamarack {

enum class group_kind : std::uint8_t { Engine, Service };

} // namespace tamarack
