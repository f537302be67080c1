// Identifies a request by what it asks, over all attempts of its caller.
#pragma once

#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace tamarack {

/// @brief Stable hashes of a request's customer and content. The customer has a hash of its own, so
/// that no customer can produce the fingerprint of another one's request.
struct request_fingerprint
{
    std::uint64_t customer = 0;
    std::uint64_t content = 0; // of the target and the body

    friend bool operator==(const request_fingerprint &, const request_fingerprint &) = default;
    friend bool operator<(const request_fingerprint &left, const request_fingerprint &right)
    {
        return std::pair(left.customer, left.content) < std::pair(right.customer, right.content);
    }
};

inline request_fingerprint fingerprintOf(const customer_id &customer, std::string_view target,
                                         std::string_view body)
{
    return {stableHash(customer.value()), stableHash(body, stableHash(target))};
}

} // namespace tamarack

template <>
struct std::hash<tamarack::request_fingerprint>
{
    std::size_t operator()(const tamarack::request_fingerprint &fingerprint) const noexcept
    {
        return fingerprint.content ^ (fingerprint.customer * 0x9e3779b97f4a7c15ULL);
    }
};
