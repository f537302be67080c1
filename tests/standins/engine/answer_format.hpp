// The OpenAI shapes of answers.
#pragma once

#include "engine_request.hpp"

#include <cstdint>
#include <string>

namespace tamarack::standins {

/// @brief Formats the answer of one request.
class answer_format
{
public:
    answer_format(const engine_request &request, std::uint64_t execution);

    /// @return the body of a whole answer
    [[nodiscard]] std::string whole(const std::string &text) const;

    /// @brief Appends one token's server-sent event.
    void appendToken(std::string &out, const std::string &token) const;

    /// @return the stream's last events, up to and with [DONE]
    [[nodiscard]] std::string streamEnd() const;

private:
    [[nodiscard]] std::string head(const char *object) const;
    [[nodiscard]] std::string usage() const;

    const engine_request &m_request;
    std::string m_id;
    std::string m_model; // as JSON text
    std::string m_eventHead; // up to a token's text
    std::string m_eventTail; // after it
};

} // namespace tamarack::standins
