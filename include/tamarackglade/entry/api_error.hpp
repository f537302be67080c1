// Errors that the entry itself returns to callers.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/http/http_response.hpp>

#include <string>

namespace tamarack {

/// @brief An error as sent to callers; all errors have the same JSON fields.
using api_error = call_error;

/// @return the response to an error, with Retry-After in seconds, rounded up, if the error has one
http_response errorResponse(const api_error &error, const request_id &request);

/// @return an error with status 400 and type invalid_request_error for a request that was not run
api_error invalidRequest(std::string code, std::string message);

} // namespace tamarack
