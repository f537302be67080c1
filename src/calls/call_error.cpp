// Serialization of call errors.
#include <tamarackglade/calls/call_error.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarack {

const char *toText(execution value)
{
    switch (value) {
    case execution::No:
        return "no";
    case execution::Yes:
        return "yes";
    case execution::Unknown:
        break;
    }
    return "unknown";
}

std::string call_error::toJson(const request_id &request) const
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

std::optional<std::uint64_t> call_error::retryAfterSeconds() const
{
    if (!retryAfter)
        return std::nullopt;
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter).count();
    return static_cast<std::uint64_t>(std::max<decltype(seconds)>(seconds, 1));
}

} // namespace tamarack
