// Relays requests to plain services; the upstream's status and body are not changed.
#include <tamarackglade/calls/idempotency_key.hpp>
#include <tamarackglade/entry/answer_relay.hpp>
#include <tamarackglade/entry/buffered_exchange.hpp>
#include <tamarackglade/entry/service_api.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

constexpr std::string_view KeyHeader = "Idempotency-Key";
constexpr unsigned ServerErrorStatus = 500;

std::size_t countIdempotencyKeys(const http_request &http)
{
    return http.headers.count({KeyHeader.data(), KeyHeader.size()});
}

std::optional<api_error> checkIdempotencyKey(const caller_request &request)
{
    const http_request &http = request.exchange.request();
    if (countIdempotencyKeys(http) > 1)
        return invalidRequest("invalid_idempotency_key",
                              "the request has more than one Idempotency-Key");
    if (request.from.customer.value().empty())
        return invalidRequest(
            "idempotency_key_on_open_route",
            "an Idempotency-Key can't be used on an open route, which has no customer");
    return validateIdempotencyKey(http.header(KeyHeader));
}

keyed_request keyedRequest(const caller_request &request, const call_request &call)
{
    keyed_request keyed;
    keyed.id = call.id;
    keyed.customer = call.customer;
    keyed.key = std::string(request.exchange.request().header(KeyHeader));
    keyed.requestDigest = computeRequestDigest(call.method, call.target, call.body);
    keyed.deadline = steadyNow() + call.timeout;
    return keyed;
}

http_response replayedResponse(const keyed_call_state &answered, const request_id &request)
{
    http_response response;
    response.status = answered.status;
    response.contentType = answered.contentType;
    response.headers.emplace_back("X-Request-Id", request.value());
    response.headers.emplace_back("Idempotency-Replayed", "true");
    response.body.assign(answered.body.begin(), answered.body.end());
    return response;
}

} // namespace

void service_api::serve(const caller_request &request, const route_options &route)
{
    if (countIdempotencyKeys(request.exchange.request()) > 0)
        serveKeyed(request, route);
    else
        answer_relay(m_context, request).run(makeCall(request, route));
}

call_request service_api::makeCall(const caller_request &request, const route_options &route) const
{
    const http_request &http = request.exchange.request();
    const customer_options *customer = request.config->inForce->customer(request.from.customer);
    call_request call;
    call.id = request.id;
    call.customer = request.from.customer;
    call.group = route.group;
    call.method = http.method;
    call.target = http.target;
    call.contentType = std::string(http.header("content-type"));
    call.body = http.body;
    call.repeatable = route.isRepeatable(http.method);
    call.weight = customer == nullptr ? 1 : customer->weight;
    call.timeout = m_context.requestTimeout;
    return call;
}

void service_api::serveKeyed(const caller_request &request, const route_options &route)
{
    if (const auto requestError = checkIdempotencyKey(request)) {
        request.refuse(*requestError);
        return;
    }
    const call_request call = makeCall(request, route);
    const keyed_request keyed = keyedRequest(request, call);
    const keyed_verdict verdict = m_context.keyed.claim(keyed);
    if (const auto *error = std::get_if<call_error>(&verdict)) {
        refuse(request, *error);
        return;
    }
    if (const auto *replay = std::get_if<replay_answer>(&verdict)) {
        request.exchange.respond(replayedResponse(replay->answered, request.id));
        return;
    }
    const keyed_answer answer = runBuffered(request, call);
    m_context.keyed.finish(keyed, answer);
    request.exchange.respond(answer.response);
}

keyed_answer service_api::runBuffered(const caller_request &request, const call_request &call)
{
    buffered_exchange buffered(request.exchange);
    const caller_request inner{buffered, request.id, request.config, request.from};
    answer_relay relay(m_context, inner);
    relay.run(call);
    return {relay.ran(), buffered.response()};
}

void service_api::refuse(const caller_request &request, const api_error &error)
{
    m_context.metrics.add(absl::StrCat("tamarack_errors_total{code=\"", error.code, "\"}"));
    if (error.status >= ServerErrorStatus) {
        burn_event event;
        event.customer = request.from.customer;
        event.result = burn_result::Refused;
        m_context.burn.onEvent(*request.config, event);
    }
    request.refuse(error);
}

} // namespace tamarack
