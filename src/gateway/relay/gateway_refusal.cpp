// JSON body and Retry-After header of error responses.
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace tamarack {

http_response refusal(unsigned status, const std::string &code, duration retryAfter)
{
    http_response response;
    response.status = status;
    response.body = nlohmann::json{{"error", {{"code", code}}}}.dump();
    if (retryAfter > duration::zero())
        response.headers.emplace_back("Retry-After",
                                      absl::StrFormat("%.3f", toSeconds(retryAfter)));
    return response;
}

} // namespace tamarack
