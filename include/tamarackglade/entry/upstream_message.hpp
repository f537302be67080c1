// The message in an upstream's error.
#pragma once

#include <string>

namespace tamarack {

/// @param body what the upstream sent, of any shape
/// @return the string error.message of its JSON, or a general sentence
std::string upstreamMessage(const std::string &body);

} // namespace tamarack
