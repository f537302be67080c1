// Compares a streamed answer with the expected one as it arrives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Reads server-sent events of the OpenAI shape.
class answer_check
{
public:
    /// @param expected the whole text
    answer_check(std::string expected, bool chat);

    /// @brief Takes bytes of the body in any split.
    /// @return how many tokens were completed
    std::uint32_t feed(std::string_view bytes);

    /// @return whether [DONE] came and the text is the expected one
    [[nodiscard]] bool whole() const;
    /// @return whether [DONE] came
    [[nodiscard]] bool done() const { return m_done; }
    /// @return whether an error event came
    [[nodiscard]] bool failed() const { return m_failed; }

private:
    bool takeEvent(std::string_view data);
    bool takeText(std::string_view text);

    std::string m_expected;
    bool m_chat;
    std::string m_buffer; // an event that isn't complete
    std::size_t m_matched = 0; // bytes of m_expected received
    bool m_differs = false;
    bool m_done = false;
    bool m_failed = false;
};

} // namespace tamarack
