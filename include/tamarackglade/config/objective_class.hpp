// Which requests an objective covers.
#pragma once

#include <cstdint>

namespace tamarack {

enum class objective_class : std::uint8_t { All, Online, Batch };

} // namespace tamarack
