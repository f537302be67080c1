// Handlers of GET /v1/models and /v1/models/{id}.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>

namespace tamarack {

/// @brief Lists the models that the caller's customer may use.
class models_api
{
public:
    /// @brief Sends the list with the fields of OpenAI's API.
    static void list(const caller_request &request);
    /// @brief Sends one model, or an error with status 404.
    static void show(const caller_request &request);
};

} // namespace tamarack
