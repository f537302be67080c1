// Validates and rewrites the JSON of completion requests.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/json_text.hpp>
#include <tamarackglade/entry/completion_request.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

using json = nlohmann::json;

// Prompts with the same first PrefixBytes bytes get the same prefix hash, so that they run on an
// upstream that has the prefix cached.
constexpr std::size_t PrefixBytes = 512;

std::optional<api_error> checkMessages(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalidRequest("invalid_messages", "messages must be a non-empty array");
    for (const json &message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return invalidRequest("invalid_messages", "each message must have a role");
    }
    return std::nullopt;
}

std::optional<api_error> checkPrompt(const json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !(prompt->is_string() || prompt->is_array()))
        return invalidRequest("invalid_prompt", "prompt must be a string or an array");
    return std::nullopt;
}

std::optional<api_error> checkOptions(const json &body)
{
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null())
        return invalidRequest("invalid_stream", "stream must be true or false");
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto limit = body.find(name);
        if (limit == body.end() || limit->is_null())
            continue;
        if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1)
            return invalidRequest("invalid_max_tokens",
                                  absl::StrCat(name, " must be a positive integer"));
    }
    return std::nullopt;
}

// Limits the answer's length to the manifest's limit for the model, in tokens.
void limitTokens(json &body, std::uint32_t limit)
{
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto requested = body.find(name);
        if (requested != body.end() && requested->is_number_integer()
            && requested->get<std::int64_t>() > static_cast<std::int64_t>(limit))
            *requested = limit;
    }
}

api_error unknownModel(const std::string &name)
{
    api_error error =
        invalidRequest("model_not_found", absl::StrCat("the model '", name, "' does not exist"));
    error.status = 404;
    return error;
}

} // namespace

std::variant<completion_request, api_error> parseCompletionRequest(std::string_view path,
                                                                   const std::string &text,
                                                                   const manifest &manifest,
                                                                   const customer_id &customer)
{
    json body = parseJson(text);
    if (body.is_discarded())
        return invalidRequest("malformed_json", "the body is not valid JSON");
    if (!body.is_object())
        return invalidRequest("malformed_json", "the body must be a JSON object");
    const auto name = body.find("model");
    if (name == body.end() || !name->is_string())
        return invalidRequest("invalid_model", "model must be a string");
    completion_request request;
    request.model = model_id(name->get<std::string>());
    const model_options *model = manifest.model(request.model);
    const customer_options *options = manifest.customer(customer);
    if (model == nullptr || options == nullptr || !options->mayUse(request.model))
        return unknownModel(request.model.value());
    const bool chat = path == "/v1/chat/completions";
    if (auto requestError = chat ? checkMessages(body) : checkPrompt(body))
        return *requestError;
    if (auto requestError = checkOptions(body))
        return *requestError;
    limitTokens(body, model->maxTokens);
    const auto stream = body.find("stream");
    request.streamed = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    const std::string prompt = (chat ? body["messages"] : body["prompt"])
                                   .dump(-1, ' ', false, json::error_handler_t::replace);
    request.prefixHash =
        stableHash(absl::StrCat(request.model.value(), "|", prompt.substr(0, PrefixBytes)));
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

} // namespace tamarack
