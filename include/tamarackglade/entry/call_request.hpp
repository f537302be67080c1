// A call that an entry wants an upstream to run.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <chrono>
#include <string>

namespace tamarack {

/// @brief What goes to the upstream, rebuilt from the caller's request; never holds a key.
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
    bool repeatable = true; // may run more than once without harm
    std::uint32_t weight = 1; // the customer's share at queues
    std::chrono::milliseconds timeout{0}; // until the answer is complete
    std::uint64_t prefixHash = 0; // of the prompt's beginning, for prefix affinity; 0 if none
};

} // namespace tamarack
