// Errors as JSON.
#include <tamarackglade/calls/api_error.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarack {

const char *toText(executed value)
{
    switch (value) {
    case executed::No:
        return "no";
    case executed::Yes:
        return "yes";
    case executed::Unknown:
        break;
    }
    return "unknown";
}

std::string api_error::toJson(const request_id &request) const
{
    nlohmann::ordered_json error;
    error["type"] = type;
    error["code"] = code;
    error["message"] = message;
    error["request_id"] = request.value();
    error["executed"] = toText(ran);
    nlohmann::ordered_json body;
    body["error"] = std::move(error);
    // Upstream messages may hold bytes that aren't UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::uint64_t> api_error::retryAfterSeconds() const
{
    if (!retryAfter)
        return std::nullopt;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter).count();
    return static_cast<std::uint64_t>(std::max<decltype(seconds)>(seconds, 1));
}

} // namespace tamarack
