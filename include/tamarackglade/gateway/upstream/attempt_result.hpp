// Result of one attempt to run a request at an upstream.
#pragma once

#include <tamarackglade/gateway/upstream/attempt_evidence.hpp>
#include <tamarackglade/gateway/upstream/response_metadata.hpp>
#include <tamarackglade/http/http_response.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <optional>
#include <string>

namespace tamarack {

enum class attempt_outcome {
    Complete, // the whole stream was passed on
    Answered, // a whole response that is not an event stream; see attempt_result::response
    NotRun, // the upstream did not and will not run the request
    Broken, // the connection or the response failed; the request may have run
    Silent, // no data within the timeout; the request may have run
    DeadlineExceeded, // the deadline of the whole request has passed
    Cancelled // the caller disconnected, or a batch item yields its slot
};

struct attempt_result;

/// @return the fault to count against the upstream, or nullopt
std::optional<attempt_fault> faultOf(const attempt_result &result);

/// @brief Reports the attempt's fault or success to the allocator, which ejects faulty upstreams.
void reportAttempt(slot_allocator &allocator, const upstream_id &upstream,
                   const attempt_result &result, time_point now);

/// @return the name of the outcome in logs and metrics
const char *nameOf(attempt_outcome outcome);

/// @brief Outcome of an attempt. response and metadata are valid if outcome is Answered.
struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::Broken;
    http_response response;
    response_metadata metadata;
    std::string reason; // why the attempt failed, for logs
    attempt_evidence evidence; // for logs
    bool connected = true; // false if the upstream could not be reached
    bool isUnsendable = false; // the request can't be written, so no upstream can run it
    // A reused connection broke before any response. The upstream may have closed it while idle.
    bool wasDropped = false;
    // A stream ended in order, but without anything that shows that it was whole.
    bool endedWithoutEvent = false;
};

} // namespace tamarack
