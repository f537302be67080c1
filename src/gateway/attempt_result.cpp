// Names of ends, and what they tell against an upstream.
#include <tamarackglade/gateway/attempt_result.hpp>

namespace tamarack {

namespace {

constexpr unsigned Misdirected = 421; // another upstream is at the address
constexpr unsigned FirstFailure = 500; // statuses from here on are the upstream's failures

} // namespace

std::optional<attempt_fault> faultOf(const attempt_result &result)
{
    switch (result.end) {
    case attempt_end::Answered:
        if (result.response.status < FirstFailure)
            return std::nullopt;
        return attempt_fault::Failed;
    case attempt_end::NotRun:
        if (!result.connected)
            return attempt_fault::Unreachable;
        return result.response.status == Misdirected ? attempt_fault::Replaced
                                                     : attempt_fault::Refused;
    case attempt_end::Broken:
        if (result.wasDropped)
            return std::nullopt;
        return attempt_fault::Broken;
    case attempt_end::Silent:
        return attempt_fault::Silent;
    case attempt_end::Complete:
    case attempt_end::OutOfTime:
    case attempt_end::Unwanted:
        return std::nullopt;
    }
    return std::nullopt;
}

void noteAttempt(slot_allocator &allocator, const upstream_id &upstream,
                 const attempt_result &result, time_point now)
{
    if (const auto fault = faultOf(result))
        allocator.onFault(upstream, *fault, now);
    else if (result.end == attempt_end::Complete)
        allocator.onSuccess(upstream, now);
}

const char *nameOf(attempt_end end)
{
    switch (end) {
    case attempt_end::Complete:
        return "complete";
    case attempt_end::Answered:
        return "answered";
    case attempt_end::NotRun:
        return "not run";
    case attempt_end::Broken:
        return "broken";
    case attempt_end::Silent:
        return "silent";
    case attempt_end::OutOfTime:
        return "out of time";
    case attempt_end::Unwanted:
        return "caller gone";
    }
    return "";
}

} // namespace tamarack
