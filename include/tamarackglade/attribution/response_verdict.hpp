// Decides whether a response belongs to the present request, and whether it proves that it didn't
// run.
#pragma once

#include <tamarackglade/attribution/connection_history.hpp>
#include <tamarackglade/attribution/response_facts.hpp>

namespace tamarack {

/// What a response on a connection says about the request that was sent last.
enum class response_verdict {
    Answer, // the upstream's answer to the request, which it ran
    NotRun, // the upstream hasn't run the request and won't
    OtherRequest, // names another request
    MayBeCopy, // can't be told from a late copy of an earlier response on the connection
    Contradictory, // says both that the request succeeded and that it wasn't run
    Unsigned // claims to be an answer, without an upstream's signature
};

/// @brief Judges a response's head. Only NotRun allows to run a request elsewhere that may run
/// once.
/// @param present the request that was sent last
/// @param before what the connection had carried before that request
response_verdict judgeResponse(const response_facts &response, const request_id &present,
                               const connection_history &before);

/// @return whether the response is a copy of one to an earlier request on the connection, so that
/// the response to the present one may still come behind it
bool isCopyOfEarlier(const response_facts &response, const request_id &present,
                     const connection_history &before);

/// @return why the response doesn't count, for logs; empty for Answer and NotRun
const char *rejectionReason(response_verdict verdict);

} // namespace tamarack
