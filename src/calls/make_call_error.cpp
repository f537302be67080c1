// The errors of all call failures.
#include <tamarackglade/calls/make_call_error.hpp>

#include <array>
#include <cstddef>

namespace tamarack {

namespace {

struct error_entry
{
    call_failure failure;
    std::uint16_t status;
    const char *type;
    const char *code;
    const char *message;
};

constexpr std::array ErrorTable{
    error_entry{call_failure::NoUpstream, 503, "unavailable", "no_upstream",
                "No upstream can take the request now."},
    error_entry{call_failure::Overloaded, 503, "overloaded", "overloaded",
                "The request can't be answered by its deadline."},
    error_entry{call_failure::DeadlinePassed, 504, "timeout", "deadline_passed",
                "The request's deadline passed before it was answered."},
    error_entry{call_failure::UpstreamFailed, 502, "upstream_error", "upstream_failed",
                "The upstream failed."},
    error_entry{call_failure::ConnectionLost, 502, "upstream_error", "connection_lost",
                "The connection to the upstream was lost."},
    error_entry{call_failure::AnswerBroken, 502, "upstream_error", "answer_broken",
                "The answer ended before it was complete."},
    error_entry{call_failure::CallerDisconnected, 499, "cancelled", "caller_gone",
                "The caller closed the connection."},
    error_entry{call_failure::Stopping, 503, "unavailable", "stopping", "This server is stopping."},
    error_entry{call_failure::Duplicate, 409, "conflict", "duplicate_call",
                "A call with this Idempotency-Key was started before."},
    error_entry{call_failure::KeyReused, 422, "invalid_request", "idempotency_key_reused",
                "This Idempotency-Key was used for another request."},
    error_entry{call_failure::LogUnavailable, 503, "unavailable", "log_unavailable",
                "The call can't be recorded in the log now."},
};

constexpr bool isInEnumOrder()
{
    for (std::size_t i = 0; i < ErrorTable.size(); ++i) {
        if (static_cast<std::size_t>(ErrorTable[i].failure) != i)
            return false;
    }
    return true;
}
static_assert(isInEnumOrder());

constexpr std::uint16_t ServiceUnavailable = 503;

} // namespace

call_error makeCallError(call_failure failure, execution ran, duration retryAfter)
{
    const auto &entry = ErrorTable.at(static_cast<std::size_t>(failure));
    call_error error{entry.status, entry.type, entry.code, entry.message, ran, std::nullopt};
    if (entry.status == ServiceUnavailable)
        error.retryAfter = retryAfter;
    return error;
}

} // namespace tamarack
