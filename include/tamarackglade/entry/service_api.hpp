// Routes of the manifest that lead to plain services.
#pragma once

#include <tamarackglade/calls/keyed_request.hpp>
#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>
#include <tamarackglade/entry/keyed_answer.hpp>

#include <optional>

namespace tamarack {

/// @brief Relays a request to a plain service; one with an Idempotency-Key runs at most once.
class service_api
{
public:
    explicit service_api(entry_context &context) : m_context(context) { }

    /// @brief Answers a request whose path the route covers.
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
