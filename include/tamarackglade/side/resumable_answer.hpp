// Assembles the answer of a batch call that may need several runs at the engine.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief How a run's response is used; decided by its head.
enum class run_response {
    Stream, // its events belong to the answer
    WholeAnswer, // it is the answer to the call, unchanged
    Refusal // it isn't what the call asked for, and the run fails
};

/// @brief Requests a stream from the engine, so that a call can resume where an aborted run
/// stopped, and assembles the events into the answer that the engine would return without
/// streaming.
class resumable_answer
{
public:
    /// @param target path of the request
    /// @param body JSON of the request, which doesn't ask for streaming
    /// @return nullopt if the request can't be resumed: it is not a completion, or its answer holds
    /// more than the text of one choice
    static std::optional<resumable_answer> fromRequest(std::string_view target,
                                                       std::string_view body);

    /// @brief Starts a run and drops the incomplete line of the previous run. Each later run
    /// requests the last received token again, so that the engine always has at least one to
    /// generate.
    /// @return the body of the run's request
    std::string beginRun();

    /// @brief Judges the response of the present run. Only a stream goes on with an answer that has
    /// begun; the parts of any other response are ignored.
    run_response onHead(unsigned status, std::string_view contentType);

    /// @brief Parses a part of the event stream, which may begin and end within a line.
    void onData(std::string_view data);

    /// @return whether the run's stream ended with the end marker [DONE] and has no failure
    [[nodiscard]] bool isComplete() const { return m_complete && m_failure.empty(); }
    /// @return the error in the run's stream, from the engine or of parsing; empty if there is none
    [[nodiscard]] const std::string &failure() const { return m_failure; }
    /// @return the number of tokens received in all runs, counted as events with text
    [[nodiscard]] std::uint64_t tokenCount() const { return m_tokenCount; }
    /// @return the bytes that the answer holds of its responses
    [[nodiscard]] std::size_t heldBytes() const { return m_partialLine.size() + m_text.size(); }
    /// @return JSON of the answer; valid only if isComplete()
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
    std::string m_partialLine; // the last line, not yet ended
    std::string m_text; // of the answer, from all runs
    std::uint64_t m_tokenCount = 0; // events with text
    std::size_t m_lastTokenBytes = 0; // of m_text; 0 if there is no token to drop
    nlohmann::json m_metadata; // id, created and model of the first event
    nlohmann::json m_finishReason;
    std::uint64_t m_promptTokens = 0;
    bool m_complete = false;
    bool m_ignoresData = false; // the run's response is no stream
    std::string m_failure;
};

} // namespace tamarack
