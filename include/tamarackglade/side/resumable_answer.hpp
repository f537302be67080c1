// The answer of a batch call, kept over the runs that it takes.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief Asks an engine for a stream, so that a run that was aborted goes on where it stopped, and
/// makes from the events the answer that the engine gives without streaming.
class resumable_answer
{
public:
    /// @param target path of the request
    /// @param body the request without streaming
    /// @return none if the request can't be resumed: it is no completion, or asks for more than
    /// the text of one choice
    static std::optional<resumable_answer> fromRequest(std::string_view target,
                                                       std::string_view body);

    /// @brief Begins a run; what an earlier one left incomplete is dropped. A later run asks again
    /// for the last token received, so that there is always one left to make.
    /// @return the body of the run's request
    std::string beginRun();

    /// @brief Takes a part of the event stream.
    void onData(std::string_view data);

    /// @return whether the stream said that it is complete
    [[nodiscard]] bool isComplete() const { return m_complete; }
    /// @return what the engine said of a failure in its stream; empty if it didn't
    [[nodiscard]] const std::string &failure() const { return m_failure; }
    /// @return the tokens received so far, over all runs
    [[nodiscard]] std::uint64_t tokenCount() const { return m_tokenCount; }
    /// @return the answer; meaningful once complete
    [[nodiscard]] std::string body() const;

private:
    explicit resumable_answer(nlohmann::json request, bool chat)
        : m_request(std::move(request)), m_chat(chat)
    {
    }

    void onLine(std::string_view text);
    void onChunk(const nlohmann::json &chunk);
    void onChoice(const nlohmann::json &choice);
    void dropLastToken();

    nlohmann::json m_request;
    bool m_chat;
    std::string m_partialLine; // the incomplete last line
    std::string m_text; // of the answer so far
    std::uint64_t m_tokenCount = 0; // events that brought text
    std::size_t m_lastTokenBytes = 0; // of m_text; 0 if there is none to drop
    nlohmann::json m_metadata; // id, created and model of the first event
    nlohmann::json m_finishReason;
    std::uint64_t m_promptTokens = 0;
    bool m_complete = false;
    std::string m_failure;
};

} // namespace tamarack
