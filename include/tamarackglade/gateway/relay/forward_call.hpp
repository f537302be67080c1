// A caller's request, decoded from the platform's protocol.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief A request to forward, with the values that routing and placement need.
struct forward_call
{
    request_id id; // identifies one attempt of the caller
    std::string method;
    std::string target; // path and query, forwarded unchanged
    std::string path;
    std::string host; // Host header, unchanged
    std::string hostName; // host in lower case, without the port
    std::optional<std::string> key; // the caller's API key; never forwarded or logged
    std::optional<duration> timeLeft; // the caller's timeout, counted from the arrival
    std::optional<std::uint64_t> resumeAfter; // last event that the caller has
    // The caller's attempt that received the first event of the stream that this one takes up;
    // empty for a new stream.
    request_id firstAttempt;
    std::uint64_t prefixHash = 0; // of the prompt parts shared with other requests; 0 if none
    // The prompt parts that other requests may share, in the order of the prompt.
    std::vector<prompt_part_id> sharedParts;
    std::vector<std::pair<std::string, std::string>> headers; // forwarded unchanged
    std::string body;
};

} // namespace tamarack
