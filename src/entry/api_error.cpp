// Errors as JSON and as responses.
#include <tamarackglade/entry/api_error.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

const char *executedText(executed ran)
{
    switch (ran) {
    case executed::No:
        return "no";
    case executed::Yes:
        return "yes";
    case executed::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

std::string errorJson(const api_error &error, const std::string &requestId)
{
    nlohmann::ordered_json body;
    body["error"]["type"] = error.type;
    body["error"]["code"] = error.code;
    body["error"]["message"] = error.message;
    body["error"]["request_id"] = requestId;
    body["error"]["executed"] = executedText(error.ran);
    // Messages may quote a caller's bytes.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_response errorResponse(const api_error &error, const std::string &requestId)
{
    http_response response;
    response.status = error.status;
    response.body = errorJson(error, requestId);
    response.headers.emplace_back("X-Request-Id", requestId);
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count();
        response.headers.emplace_back("Retry-After",
                                      absl::StrCat(std::max<std::int64_t>(1, seconds)));
    }
    if (error.status == 401)
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
    return error;
}

} // namespace tamarack
