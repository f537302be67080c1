// Digest of the sources from which this program was built.
#pragma once

#include <string_view>

namespace tamarack {

/// @return 16 hexadecimal digits; the same for all programs of one state of the sources
std::string_view sourceDigest();

} // namespace tamarack
