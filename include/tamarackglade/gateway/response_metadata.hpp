// What an upstream's response says beside its status and body.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Facts of a response's head.
struct response_metadata
{
    std::optional<request_id> answeredRequest; // which request it answers
    bool notRun = false; // the upstream says that it didn't and won't run the request
    bool isSigned = false; // bears an upstream's signature
    std::optional<std::chrono::seconds> keepAlive; // how long the connection may stay idle
    std::vector<std::pair<std::string, std::string>> headers; // for the caller
};

} // namespace tamarack
