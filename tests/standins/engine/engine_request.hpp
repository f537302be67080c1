// A completion request in the OpenAI shape, parsed.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace tamarack::standins {

/// @brief What the engine needs of a request.
struct engine_request
{
    bool chat = false; // /v1/chat/completions rather than /v1/completions
    std::string model;
    std::string prompt;
    bool stream = false;
    bool includeUsage = false; // the stream ends with a usage chunk
    std::uint32_t resumeFrom = 0; // first token to answer
    std::uint32_t maxTokens = 0; // of the whole answer
};

/// @return the request, or InvalidArgument with what is wrong
absl::StatusOr<engine_request> parseEngineRequest(const std::string &body, bool chat);

} // namespace tamarack::standins
