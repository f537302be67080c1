// Error responses that the gateway creates itself.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/http/http_response.hpp>

#include <string>

namespace tamarack {

/// @brief Creates an error response. With status 429 or 503 the request has not run and never will;
/// with 502 or 504 it may have run.
/// @param code error code in the JSON body
/// @param retryAfter value of Retry-After; zero omits the header
/// @param message for people, in the JSON body; empty omits it
http_response refusal(unsigned status, const std::string &code, duration retryAfter = {},
                      const std::string &message = {});

} // namespace tamarack
