// Plain services: the upstream's status and body go through as they are.
#include <tamarackglade/entry/answer_relay.hpp>
#include <tamarackglade/entry/service_api.hpp>

namespace tamarack {

void service_api::serve(const caller_request &request, const route_options &route)
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
    answer_relay(m_context, request).run(std::move(call));
}

} // namespace tamarack
