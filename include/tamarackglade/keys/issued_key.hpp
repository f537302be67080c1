// Issue of keys.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/keys/key_hash.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @brief A new key and its secret.
struct issued_key
{
    key_id id;
    std::string secretText; // the whole key; shown once, never stored or logged
    key_hash hash{}; // the form stored in the log
};

/// @brief Draws a key from OpenSSL's random generator.
/// @return the key, or Unavailable if the generator fails
absl::StatusOr<issued_key> issueKey();

} // namespace tamarack
