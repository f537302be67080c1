// A call that an entry sends to an upstream.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <chrono>
#include <string>

namespace tamarack {

/// @brief The call's content, rebuilt from the caller's request; never contains an API key.
struct call_request
{
    request_id id;
    customer_id customer;
    group_id group;
    schema::call_class callClass = schema::call_class::Online;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    bool streamed = false;
    bool repeatable = true; // idempotent: may run more than once
    std::uint32_t weight = 1; // the customer's weight in queues
    std::chrono::milliseconds timeout{0}; // until the answer is complete
    std::uint64_t prefixHash = 0; // of the prompt's beginning, for prefix affinity; 0 if none
};

} // namespace tamarack
