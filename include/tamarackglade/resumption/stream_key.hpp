// Key under which gateways keep where a stream began.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>

namespace tamarack {

/// Hash of the caller's attempt that received the first event, and of its customer.
using stream_key = strong_id<struct stream_key_tag, std::uint64_t>;

/// @param customer empty on an open route
stream_key streamKey(const request_id &firstAttempt, const customer_id &customer);

} // namespace tamarack
