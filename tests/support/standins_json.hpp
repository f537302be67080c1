// JSON answers and bodies of the stand-ins.
#pragma once

#include <tamarackglade/http/http_exchange.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace tamarack::standins {

/// @brief Answers with a JSON body.
inline void respondJson(http_exchange &exchange, unsigned status, const nlohmann::json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    exchange.respond(response);
}

/// @brief Answers with an OpenAI-shaped error.
inline void respondError(http_exchange &exchange, unsigned status, const std::string &code,
                         const std::string &message)
{
    const char *type = status < 500 ? "invalid_request_error" : "server_error";
    respondJson(exchange, status,
                {{"error", {{"type", type}, {"code", code}, {"message", message}}}});
}

/// @brief Parses a body that must be a JSON object; answers 400 if it isn't.
inline std::optional<nlohmann::json> objectBody(http_exchange &exchange)
{
    auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (body.is_object())
        return body;
    respondError(exchange, 400, "malformed_body", "the body must be a JSON object");
    return std::nullopt;
}

/// @return a header's or a parameter's number, or the default if it is absent or malformed
inline std::uint64_t numberOr(const std::string &text, std::uint64_t otherwise)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos
        || text.size() > 19)
        return otherwise;
    return std::stoull(text);
}

} // namespace tamarack::standins
