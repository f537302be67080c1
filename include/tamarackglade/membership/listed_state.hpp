// The state of a listed VM.
#pragma once

#include <cstdint>

namespace tamarack {

/// @brief A VM's state in the platform's list.
enum class listed_state : std::uint8_t { Live, Leaving };

} // namespace tamarack
