// A request to send.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief A request to send.
struct http_client_request
{
    std::string method = "GET";
    std::string target = "/";
    std::string host; // of the Host header; empty for the connection's address
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
};

} // namespace tamarack
