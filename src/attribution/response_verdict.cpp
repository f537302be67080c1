// The rules by which a response is attributed.
#include <tamarackglade/attribution/response_verdict.hpp>

namespace tamarack {

namespace {

constexpr unsigned MinFailureStatus = 400;

// A copy names the same request as the response that it repeats, or none if that one named none.
bool mayBeCopy(const response_facts &response, const request_id &present,
               const connection_history &before)
{
    return response.names ? before.carried(present) : before.hasUnnamedResponse();
}

} // namespace

response_verdict judgeResponse(const response_facts &response, const request_id &present,
                               const connection_history &before)
{
    if (response.names && *response.names != present)
        return response_verdict::OtherRequest;
    if (mayBeCopy(response, present, before))
        return response_verdict::MayBeCopy;
    if (response.claimsNotRun && response.status < MinFailureStatus)
        return response_verdict::Contradictory;
    if (response.claimsNotRun)
        return response_verdict::NotRun;
    return response.isSigned ? response_verdict::Answer : response_verdict::Unsigned;
}

bool isCopyOfEarlier(const response_facts &response, const request_id &present,
                     const connection_history &before)
{
    return response.names && *response.names != present && before.carried(*response.names);
}

const char *rejectionReason(response_verdict verdict)
{
    switch (verdict) {
    case response_verdict::OtherRequest:
        return "response has another request id";
    case response_verdict::MayBeCopy:
        return "response may be a late copy of an earlier one";
    case response_verdict::Contradictory:
        return "response says both that it succeeded and that nothing ran";
    case response_verdict::Unsigned:
        return "response has no signature";
    case response_verdict::Answer:
    case response_verdict::NotRun:
        break;
    }
    return "";
}

} // namespace tamarack
