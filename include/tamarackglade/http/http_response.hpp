// A whole HTTP response.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Status, headers and body of a response that isn't streamed.
struct http_response
{
    unsigned status = 200;
    std::string contentType = "application/json"; // empty if headers has it, or there is none
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// @return whether the status is one of the successes; only 200 says that the whole body follows
inline bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace tamarack
