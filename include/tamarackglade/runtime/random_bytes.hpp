// Random bytes for nonces and ids.
#pragma once

#include <cstddef>
#include <string>

namespace tamarack {

/// @return size random bytes from OpenSSL's generator
std::string randomBytes(std::size_t size);

/// @return an id "<prefix><24 hexadecimal digits>"
std::string randomId(const std::string &prefix);

} // namespace tamarack
