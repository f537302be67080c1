// Builds calls from completion requests.
#include <tamarackglade/entry/answer_relay.hpp>
#include <tamarackglade/entry/completion_request.hpp>
#include <tamarackglade/entry/completions_api.hpp>

namespace tamarack {

void completions_api::serve(const caller_request &request)
{
    const http_request &http = request.exchange.request();
    const manifest &manifest = *request.config->inForce;
    auto parsed = parseCompletionRequest(http.path, http.body, manifest, request.from.customer);
    if (const auto *requestError = std::get_if<api_error>(&parsed)) {
        request.refuse(*requestError);
        return;
    }
    auto &completion = std::get<completion_request>(parsed);
    call_request call;
    call.id = request.id;
    call.customer = request.from.customer;
    call.group = manifest.model(completion.model)->group;
    call.method = "POST";
    call.target = http.path;
    call.contentType = "application/json";
    call.body = std::move(completion.body);
    call.streamed = completion.streamed;
    call.weight = manifest.customer(call.customer)->weight;
    call.timeout = m_context.requestTimeout;
    call.prefixHash = completion.prefixHash;
    answer_relay(m_context, request).run(std::move(call));
}

} // namespace tamarack
