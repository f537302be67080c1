// Derives each token from a hash of model, prompt and index.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/load/expected_answer.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::size_t BytesPerToken = 4;
constexpr std::uint64_t WordMask = 0xffffff;

std::uint64_t answerSeed(std::string_view model, std::string_view prompt)
{
    return stableHash(prompt, stableHash(model));
}

void appendToken(std::string &out, std::uint64_t seed, std::uint32_t index)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&index), sizeof index);
    const std::uint64_t word = stableHash(bytes, seed) & WordMask;
    absl::StrAppend(&out, "w", absl::Hex(word, absl::kZeroPad6), " ");
}

std::string contentText(const nlohmann::json &content)
{
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    if (!content.is_array())
        return text;
    for (const auto &part : content) {
        if (part.is_object() && part.contains("text") && part["text"].is_string())
            text += part["text"].get<std::string>();
    }
    return text;
}

} // namespace

std::string answerToken(std::string_view model, std::string_view prompt, std::uint32_t index)
{
    std::string token;
    appendToken(token, answerSeed(model, prompt), index);
    return token;
}

std::string expectedAnswer(std::string_view model, std::string_view prompt, std::uint32_t maxTokens)
{
    const std::uint64_t seed = answerSeed(model, prompt);
    std::string answer;
    for (std::uint32_t index = 0; index < maxTokens; ++index)
        appendToken(answer, seed, index);
    return answer;
}

std::string chatPrompt(const nlohmann::json &messages)
{
    std::string prompt;
    if (!messages.is_array())
        return prompt;
    for (const auto &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()
            || !message.contains("content"))
            return {};
        prompt +=
            message["role"].get<std::string>() + ": " + contentText(message["content"]) + "\n";
    }
    return prompt;
}

std::uint32_t promptTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (prompt.size() + BytesPerToken - 1) / BytesPerToken));
}

} // namespace tamarack
