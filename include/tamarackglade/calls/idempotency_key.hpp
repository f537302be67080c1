// Validation of Idempotency-Keys, and digests of the requests sent under them.
#pragma once

#include <tamarackglade/calls/call_error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

constexpr std::size_t MaxIdempotencyKeyBytes = 256;

/// @return the error for an invalid key, or nothing if the key is valid: 1 to
/// MaxIdempotencyKeyBytes printable ASCII characters
std::optional<call_error> validateIdempotencyKey(std::string_view key);

/// @return a hash that is equal on every VM for the same method, target and body
std::uint64_t computeRequestDigest(const std::string &method, const std::string &target,
                                   const std::string &body);

} // namespace tamarack
