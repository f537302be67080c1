// A request with an Idempotency-Key.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief A request whose key has to be claimed in the log before it runs.
struct keyed_request
{
    request_id id;
    customer_id customer;
    std::string key;
    std::uint64_t requestDigest = 0; // of method, target and body
    time_point deadline{};
};

} // namespace tamarack
