// Responses to the caller that don't stream: an upstream's whole response, failures and refusals.
#include <tamarackglade/gateway/relay/call_relay.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds MinRetryAfter{250};
constexpr std::chrono::milliseconds MaxRetryAfter{1'500};

} // namespace

void call_relay::breakOff()
{
    m_brokenOff = !m_callerDisconnected;
    m_exchange.abortStream();
}

void call_relay::forwardResponse(const attempt_result &result)
{
    m_outcome = "answered";
    m_status = result.response.status;
    if (m_exchange.started()) {
        // The caller has part of the stream; an error response can't follow it.
        breakOff();
        return;
    }
    http_response response = result.response;
    response.contentType.clear();
    response.headers = result.metadata.headers;
    m_exchange.respond(response);
}

void call_relay::respondWithFailure(const attempt_result &result)
{
    m_outcome = nameOf(result.outcome);
    if (m_callerDisconnected || m_exchange.started()) {
        breakOff();
        return;
    }
    if (result.isUnsendable && !m_mayHaveRun) {
        m_status = 400;
        m_exchange.respond(refusal(m_status, "malformed_request"));
        return;
    }
    if (!m_mayHaveRun) {
        refuseUnavailable("no_upstream");
        return;
    }
    m_status = result.outcome == attempt_outcome::DeadlineExceeded ? 504 : 502;
    m_exchange.respond(refusal(m_status, result.outcome == attempt_outcome::DeadlineExceeded
                                             ? "upstream_timeout"
                                             : "upstream_failed"));
}

void call_relay::endCancelled()
{
    const bool isGone = m_callerDisconnected || !m_processEnds;
    m_outcome = isGone ? "caller gone" : "process ends";
    if (isGone || m_exchange.started()) {
        breakOff();
        return;
    }
    m_status = m_mayHaveRun ? 502 : 503;
    m_exchange.respond(refusal(m_status, "gateway_stopping",
                               m_mayHaveRun ? duration::zero() : duration(MinRetryAfter)));
}

void call_relay::refuseUnavailable(const std::string &code)
{
    m_outcome = code;
    m_status = 503;
    const duration wait = std::clamp<duration>(2 * m_context.blockingQueue.expectedWait(),
                                               MinRetryAfter, MaxRetryAfter);
    m_exchange.respond(refusal(503, code, wait));
}

void call_relay::refuseWithoutUpstream()
{
    m_outcome = "no upstream";
    if (m_exchange.started()) {
        breakOff();
        return;
    }
    m_status = m_mayHaveRun ? 502 : 503;
    m_exchange.respond(
        refusal(m_status, "no_upstream", m_mayHaveRun ? duration::zero() : MaxRetryAfter));
}

void call_relay::refuseQuarantined(const blocked_part &blocked)
{
    m_outcome = "prompt part quarantined";
    if (m_exchange.started()) {
        breakOff();
        return;
    }
    m_status = m_mayHaveRun ? 502 : 503;
    const duration wait = std::max<duration>(blocked.wait, MinRetryAfter);
    m_exchange.respond(
        refusal(m_status, "prompt_part_quarantined", m_mayHaveRun ? duration::zero() : wait));
}

void call_relay::refuseCrashing(const blocked_request &blocked)
{
    m_outcome = blocked.quarantined ? "request quarantined" : "request put off";
    if (m_exchange.started()) {
        breakOff();
        return;
    }
    m_status = m_mayHaveRun ? 502 : 503;
    m_exchange.respond(refusal(m_status,
                               blocked.quarantined ? "request_quarantined" : "request_put_off",
                               m_mayHaveRun ? duration::zero() : blocked.retryAfter));
}

} // namespace tamarack
