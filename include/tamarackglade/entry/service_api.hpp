// Routes of the manifest that lead to plain services.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>

namespace tamarack {

/// @brief Relays a request to a plain service.
class service_api
{
public:
    explicit service_api(entry_context &context) : m_context(context) { }

    /// @brief Answers a request whose path the route covers.
    void serve(const caller_request &request, const route_options &route);

private:
    entry_context &m_context;
};

} // namespace tamarack
