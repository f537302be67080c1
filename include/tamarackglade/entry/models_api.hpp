// GET /v1/models and /v1/models/{id}.
#pragma once

#include <tamarackglade/entry/caller_request.hpp>

namespace tamarack {

/// @brief Lists the models that the caller's customer may use.
class models_api
{
public:
    /// @brief Answers with the list in OpenAI's shape.
    static void list(const caller_request &request);
    /// @brief Answers with one model, or 404.
    static void show(const caller_request &request);
};

} // namespace tamarack
