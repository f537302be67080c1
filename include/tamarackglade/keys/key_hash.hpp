// The stored form of a caller's key.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace tamarack {

/// A key's SHA-256.
using key_hash = std::array<std::uint8_t, 32>;

/// @return the SHA-256 of the whole presented key
key_hash hashKey(std::string_view presented);

/// @brief Compares two hashes in time that does not depend on their contents.
bool equalHashes(const key_hash &left, const key_hash &right);

} // namespace tamarack
