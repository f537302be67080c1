// How an attempt at one upstream ended.
#pragma once

#include <tamarackglade/gateway/answer_facts.hpp>
#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <optional>
#include <string>

namespace tamarack {

enum class attempt_end {
    Complete, // the whole stream was passed on
    Answered, // a whole answer that is no stream; see response
    NotRun, // the upstream didn't run the request and won't
    Broken, // the connection or the answer failed; the upstream may have run the request
    Silent, // nothing came for too long; the upstream may have run the request
    OutOfTime, // the request's time is over
    Unwanted // the receiver is gone
};

struct attempt_result;

/// @return what the attempt tells against its upstream, or nullopt
std::optional<attempt_fault> faultOf(const attempt_result &result);

/// @brief Tells the allocator what the attempt shows of its upstream.
void noteAttempt(slot_allocator &allocator, const upstream_id &upstream,
                 const attempt_result &result, time_point now);

/// @return the name for logs
const char *nameOf(attempt_end end);

/// @brief The end of an attempt. response and facts are valid if Answered.
struct attempt_result
{
    attempt_end end = attempt_end::Broken;
    http_response response;
    answer_facts facts;
    std::string reason; // of failures, for logs
    bool connected = true; // false if the upstream could not be reached
    // A kept connection broke before any answer. The upstream may have dropped it long before.
    bool wasDropped = false;
};

} // namespace tamarack
