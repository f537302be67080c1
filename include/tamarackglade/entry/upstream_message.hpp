// Extracts the message from an upstream's error response.
#pragma once

#include <string>

namespace tamarack {

/// @param body the response body, which need not be JSON
/// @return the string error.message of the JSON, or a general message
std::string upstreamMessage(const std::string &body);

} // namespace tamarack
