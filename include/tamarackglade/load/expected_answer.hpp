// The deterministic answers of the stand-in engine, with which a client can verify every token.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// Tokens of an answer if the request sets no maximum.
inline constexpr std::uint32_t DefaultAnswerTokens = 16;

/// @return the text of one token of the answer, with its trailing space
std::string answerToken(std::string_view model, std::string_view prompt, std::uint32_t index);

/// @return the whole answer: tokens 0 .. maxTokens - 1
std::string expectedAnswer(std::string_view model, std::string_view prompt,
                           std::uint32_t maxTokens);

/// @return the prompt of a chat: its messages as "role: content" lines; empty if malformed
std::string chatPrompt(const nlohmann::json &messages);

/// @return the number of tokens of a prompt: one for each four bytes started, at least one
std::uint32_t promptTokens(std::string_view prompt);

} // namespace tamarack
