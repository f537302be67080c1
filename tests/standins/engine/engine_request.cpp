// Checks of a request's fields.
#include "engine_request.hpp"

#include <tamarackglade/load/expected_answer.hpp>

#include <nlohmann/json.hpp>

namespace tamarack::standins {

namespace {

constexpr std::uint32_t MaxAnswerTokens = 1'000'000;

absl::StatusOr<std::uint32_t> tokenField(const nlohmann::json &body, const char *name,
                                         std::uint32_t otherwise)
{
    const auto field = body.find(name);
    if (field == body.end() || field->is_null())
        return otherwise;
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() > MaxAnswerTokens)
        return absl::InvalidArgumentError(std::string(name) + " must be a number of tokens");
    return field->get<std::uint32_t>();
}

bool flagField(const nlohmann::json &body, const char *name)
{
    const auto field = body.find(name);
    return field != body.end() && field->is_boolean() && field->get<bool>();
}

std::string promptOf(const nlohmann::json &body, bool chat)
{
    if (chat)
        return body.contains("messages") ? chatPrompt(body["messages"]) : std::string();
    if (body.contains("prompt") && body["prompt"].is_string())
        return body["prompt"].get<std::string>();
    return {};
}

} // namespace

absl::StatusOr<engine_request> parseEngineRequest(const std::string &text, bool chat)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return absl::InvalidArgumentError("the body must be a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return absl::InvalidArgumentError("model must be a string");
    engine_request request;
    request.chat = chat;
    request.model = body["model"].get<std::string>();
    request.prompt = promptOf(body, chat);
    if (request.prompt.empty())
        return absl::InvalidArgumentError(chat ? "messages must be a list of messages"
                                               : "prompt must be a string");
    request.stream = flagField(body, "stream");
    if (body.contains("stream_options") && body["stream_options"].is_object())
        request.includeUsage = flagField(body["stream_options"], "include_usage");
    const auto oldLimit = tokenField(body, "max_tokens", DefaultAnswerTokens);
    if (!oldLimit.ok())
        return oldLimit.status();
    const auto limit = tokenField(body, "max_completion_tokens", *oldLimit);
    if (!limit.ok())
        return limit.status();
    const auto resumeFrom = tokenField(body, "resume_from", 0);
    if (!resumeFrom.ok())
        return resumeFrom.status();
    if (*limit == 0 || *resumeFrom >= *limit)
        return absl::InvalidArgumentError("max_tokens must be above 0 and above resume_from");
    request.maxTokens = *limit;
    request.resumeFrom = *resumeFrom;
    return request;
}

} // namespace tamarack::standins
