// Metadata that the gateway decodes from the headers of an upstream's response.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Metadata of a response, beside its status and body.
struct response_metadata
{
    std::optional<request_id> answeredRequest; // id of the request that the response belongs to
    bool notRun = false; // the upstream did not and will not run the request
    std::optional<upstream_id> instance; // the upstream that answers, if it says so
    bool isSigned = false; // the response carries an upstream's signature
    bool leaving = false; // the upstream states that it leaves and accepts no new work
    // Requests per second that the upstream accepts from all gateways together, as of this
    // response.
    std::optional<double> acceptedRate;
    bool hasUnreadableRate = false; // a stated rate can't be read, so the response ends no limit
    std::optional<std::chrono::seconds> keepAlive; // idle timeout of the connection
    std::vector<std::pair<std::string, std::string>> headers; // headers to forward to the caller
};

} // namespace tamarack
