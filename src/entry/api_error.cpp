// Builds HTTP responses from errors.
#include <tamarackglade/entry/api_error.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

http_response errorResponse(const api_error &error, const request_id &request)
{
    constexpr unsigned Unauthorized = 401;
    http_response response;
    response.status = error.status;
    response.body = error.toJson(request);
    response.headers.emplace_back("X-Request-Id", request.value());
    if (const auto seconds = error.retryAfterSeconds())
        response.headers.emplace_back("Retry-After", absl::StrCat(*seconds));
    if (error.status == Unauthorized)
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
    return response;
}

api_error invalidRequest(std::string code, std::string message)
{
    api_error error;
    error.status = 400;
    error.type = "invalid_request_error";
    error.code = std::move(code);
    error.message = std::move(message);
    error.ran = execution::No;
    return error;
}

} // namespace tamarack
