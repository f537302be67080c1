// Names of attempt outcomes and the upstream faults that they indicate.
#include <tamarackglade/gateway/upstream/attempt_result.hpp>

namespace tamarack {

namespace {

constexpr unsigned Misdirected = 421; // another upstream is at the address
constexpr unsigned MinServerError = 500; // this status and higher ones are failures of the upstream

} // namespace

std::optional<attempt_fault> faultOf(const attempt_result &result)
{
    switch (result.outcome) {
    case attempt_outcome::Answered:
        if (result.response.status < MinServerError)
            return std::nullopt;
        return attempt_fault::Failed;
    case attempt_outcome::NotRun:
        if (result.isUnsendable)
            return std::nullopt;
        if (!result.connected)
            return attempt_fault::Unreachable;
        return result.response.status == Misdirected ? attempt_fault::Replaced
                                                     : attempt_fault::Refused;
    case attempt_outcome::Broken:
        if (result.wasDropped)
            return std::nullopt;
        return attempt_fault::Broken;
    case attempt_outcome::Silent:
        return attempt_fault::Silent;
    case attempt_outcome::Complete:
    case attempt_outcome::DeadlineExceeded:
    case attempt_outcome::Cancelled:
        return std::nullopt;
    }
    return std::nullopt;
}

void reportAttempt(slot_allocator &allocator, const upstream_id &upstream,
                   const attempt_result &result, time_point now)
{
    if (const auto fault = faultOf(result))
        allocator.onFault(upstream, *fault, now);
    else if (result.outcome == attempt_outcome::Complete)
        allocator.onSuccess(upstream, now);
    else if (result.outcome == attempt_outcome::Answered)
        allocator.onAnswer(upstream);
}

const char *nameOf(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Complete:
        return "complete";
    case attempt_outcome::Answered:
        return "answered";
    case attempt_outcome::NotRun:
        return "not run";
    case attempt_outcome::Broken:
        return "broken";
    case attempt_outcome::Silent:
        return "silent";
    case attempt_outcome::DeadlineExceeded:
        return "out of time";
    case attempt_outcome::Cancelled:
        return "caller gone";
    }
    return "";
}

} // namespace tamarack
