// JSON body and Retry-After header of error responses.
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace tamarack {

http_response refusal(unsigned status, const std::string &code, duration retryAfter,
                      const std::string &message)
{
    http_response response;
    response.status = status;
    nlohmann::json error{{"code", code}};
    if (!message.empty())
        error["message"] = message;
    response.body = nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                          nlohmann::json::error_handler_t::replace);
    if (retryAfter > duration::zero())
        response.headers.emplace_back("Retry-After",
                                      absl::StrFormat("%.3f", toSeconds(retryAfter)));
    return response;
}

} // namespace tamarack
