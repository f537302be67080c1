// The text form of a caller's key: tg_<key id>_<secret>, both parts base62.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Length of a key id in characters: 71 bits, so that ids drawn independently do not collide.
constexpr std::size_t KeyIdLength = 12;
/// Length of a secret in characters: at least 256 bits.
constexpr std::size_t KeySecretLength = 43;

/// @return the key id of a well-formed key; none for any other text
std::optional<key_id> parseKeyId(std::string_view presented);

/// @return whether the text could be a key's id: of its length, all letters and digits
bool isKeyId(std::string_view text);

/// @brief Replaces the secret of every key in a text, complete or truncated, for logs.
/// @return the text with `tg_<id>_[redacted]` in place of keys; complexity O(size)
std::string redactKeys(std::string_view text);

} // namespace tamarack
