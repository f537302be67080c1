// A caller's request with its id, configuration and authenticated sender.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/entry/api_error.hpp>
#include <tamarackglade/entry/caller.hpp>
#include <tamarackglade/http/http_exchange.hpp>

#include <memory>
#include <string>

namespace tamarack {

/// @brief The context of one request, passed to the entry's handlers.
struct caller_request
{
    http_exchange &exchange;
    request_id id;
    std::shared_ptr<const config_state> config; // never null
    caller from; // empty ids on an open route

    /// @brief Sends an error as the response.
    void refuse(const api_error &error) const { exchange.respond(errorResponse(error, id)); }
};

} // namespace tamarack
