// How an attempt at one upstream ended.
#pragma once

#include <tamarackglade/gateway/response_metadata.hpp>
#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <optional>
#include <string>

namespace tamarack {

enum class attempt_outcome {
    Complete, // the whole stream was passed on
    Answered, // a whole answer that is no stream; see response
    NotRun, // the upstream didn't run the request and won't
    Broken, // the connection or the answer failed; the upstream may have run the request
    Silent, // nothing came for too long; the upstream may have run the request
    DeadlineExceeded, // the request's time is over
    Cancelled // the receiver is gone
};

struct attempt_result;

/// @return what the attempt tells against its upstream, or nullopt
std::optional<attempt_fault> faultOf(const attempt_result &result);

/// @brief Tells the allocator what the attempt shows of its upstream.
void reportAttempt(slot_allocator &allocator, const upstream_id &upstream,
                   const attempt_result &result, time_point now);

/// @return the name for logs
const char *nameOf(attempt_outcome outcome);

/// @brief The end of an attempt. response and metadata are valid if Answered.
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Broken;
    http_response response;
    response_metadata metadata;
    std::string reason; // of failures, for logs
    bool connected = true; // false if the upstream could not be reached
    // A kept connection broke before any answer. The upstream may have dropped it long before.
    bool wasDropped = false;
};

} // namespace tamarack
