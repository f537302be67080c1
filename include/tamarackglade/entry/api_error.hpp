// The one shape in which callers get errors.
#pragma once

#include <tamarackglade/http/http_response.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace tamarack {

/// Whether an upstream ran the request. No is said only when it is proved.
enum class executed { No, Yes, Unknown };

/// @brief An error as callers see it.
struct api_error
{
    unsigned status = 500; // HTTP
    std::string type; // OpenAI's error type, such as invalid_request_error
    std::string code; // stable, for programs
    std::string message; // for people
    executed ran = executed::No;
    std::optional<std::chrono::milliseconds> retryAfter; // sent with 429 and 503
};

/// @return the error's JSON object {"error": {...}}
std::string errorJson(const api_error &error, const std::string &requestId);

/// @return the whole response, with Retry-After in whole seconds, rounded up
http_response errorResponse(const api_error &error, const std::string &requestId);

/// @return a 400 with the type invalid_request_error
api_error invalidRequest(std::string code, std::string message);

} // namespace tamarack
