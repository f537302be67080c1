// Errors that the entry itself answers with.
#pragma once

#include <tamarackglade/calls/call_error.hpp>
#include <tamarackglade/http/http_response.hpp>

#include <string>

namespace tamarack {

/// An error as callers see it; one shape for all.
using api_error = call_error;

/// @return the whole response, with Retry-After in whole seconds, rounded up
http_response errorResponse(const api_error &error, const request_id &request);

/// @return a 400 with the type invalid_request_error, of a request that was not run
api_error invalidRequest(std::string code, std::string message);

} // namespace tamarack
