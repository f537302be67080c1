// A request with what the front found out about it.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/entry/api_error.hpp>
#include <tamarackglade/entry/caller.hpp>
#include <tamarackglade/http/http_exchange.hpp>

#include <memory>
#include <string>

namespace tamarack {

/// @brief One request on its way through the entry's handlers.
struct caller_request
{
    http_exchange &exchange;
    request_id id;
    std::shared_ptr<const config_state> config; // never null
    caller from; // empty ids on an open route

    /// @brief Answers with an error.
    void refuse(const api_error &error) const { exchange.respond(errorResponse(error, id)); }
};

} // namespace tamarack
