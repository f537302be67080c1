// Checks the text of a streamed answer against the expected text while it arrives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Parses server-sent events of the OpenAI completion APIs and compares their text.
class answer_checker
{
public:
    /// @param expected the whole text of the answer
    /// @param chat whether the events are of chat completions, else of completions
    answer_checker(std::string expected, bool chat);

    /// @brief Processes the next bytes of the body, which may end anywhere in an event.
    /// @return the number of tokens completed by these bytes
    std::uint32_t feed(std::string_view bytes);

    /// @return whether [DONE] was received and the text equals the expected one
    [[nodiscard]] bool isWhole() const;
    /// @return whether [DONE] was received
    [[nodiscard]] bool isDone() const { return m_done; }
    /// @return whether an error event or a malformed event was received
    [[nodiscard]] bool hasFailed() const { return m_failed; }

private:
    bool processEvent(std::string_view data);
    bool compareText(std::string_view text);

    std::string m_expected;
    bool m_chat;
    std::string m_buffer; // start of an incomplete event
    std::size_t m_matched = 0; // bytes of m_expected received
    bool m_differs = false;
    bool m_done = false;
    bool m_failed = false;
};

} // namespace tamarack
