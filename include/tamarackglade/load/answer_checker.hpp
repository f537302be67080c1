// Compares a streamed answer with the expected one as it arrives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Reads server-sent events of the OpenAI shape.
class answer_checker
{
public:
    /// @param expected the whole text
    answer_checker(std::string expected, bool chat);

    /// @brief Takes bytes of the body in any split.
    /// @return how many tokens were completed
    std::uint32_t feed(std::string_view bytes);

    /// @return whether [DONE] came and the text is the expected one
    [[nodiscard]] bool isWhole() const;
    /// @return whether [DONE] came
    [[nodiscard]] bool isDone() const { return m_done; }
    /// @return whether an error event came
    [[nodiscard]] bool hasFailed() const { return m_failed; }

private:
    bool processEvent(std::string_view data);
    bool compareText(std::string_view text);

    std::string m_expected;
    bool m_chat;
    std::string m_buffer; // an event that isn't complete
    std::size_t m_matched = 0; // bytes of m_expected received
    bool m_differs = false;
    bool m_done = false;
    bool m_failed = false;
};

} // namespace tamarack
