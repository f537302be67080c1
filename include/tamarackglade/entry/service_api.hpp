// Handler of the manifest's routes to plain HTTP services.
#pragma once

#include <tamarackglade/calls/keyed_request.hpp>
#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>
#include <tamarackglade/entry/keyed_answer.hpp>

#include <optional>

namespace tamarack {

/// @brief Relays requests to a plain HTTP service. A request with an Idempotency-Key is executed at
/// most once.
class service_api
{
public:
    explicit service_api(entry_context &context) : m_context(context) { }

    /// @brief Answers a request whose path matches the route.
    void serve(const caller_request &request, const route_options &route);

private:
    [[nodiscard]] call_request makeCall(const caller_request &request,
                                        const route_options &route) const;
    void serveKeyed(const caller_request &request, const route_options &route);
    keyed_answer runBuffered(const caller_request &request, const call_request &call);
    void refuse(const caller_request &request, const api_error &error);

    entry_context &m_context;
};

} // namespace tamarack
