// A VM's state in the platform's list.
#pragma once

#include <cstdint>

namespace tamarack {

enum class listed_state : std::uint8_t { Live, Leaving };

} // namespace tamarack
