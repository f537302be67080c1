// Values that the gateway adds to a request for one attempt at an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <optional>

namespace tamarack {

/// @brief Values of a forwarded request that may differ between attempts.
struct upstream_attempt
{
    upstream_id upstream; // expected upstream; another one at the same address must not run it
    std::optional<customer_id> customer; // the customer whose key came with the request
    std::optional<duration> timeLeft; // after this time the upstream may stop
    std::optional<std::uint64_t> resumeAfter; // last received event; the stream resumes after it
};

} // namespace tamarack
