// Stable 64-bit hashes: the same on every VM and in every version.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// @brief XXH3 of text with a seed.
/// @return a value that is equal on every VM; not for secrets
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace tamarack
