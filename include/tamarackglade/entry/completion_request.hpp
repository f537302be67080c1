// The parsed body of a completion request.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/entry/api_error.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace tamarack {

/// @brief The fields of a completion request that an entry uses.
struct completion_request
{
    model_id model;
    bool streamed = false;
    std::string body; // rebuilt JSON for the upstream
    std::uint64_t prefixHash = 0; // of the prompt's beginning
};

/// @brief Parses and checks the JSON body of a chat or text completion.
/// @param path /v1/chat/completions or /v1/completions
/// @return the request, or the error with a 4xx status for the caller
std::variant<completion_request, api_error> parseCompletionRequest(std::string_view path,
                                                                   const std::string &body,
                                                                   const manifest &manifest,
                                                                   const customer_id &customer);

} // namespace tamarack
