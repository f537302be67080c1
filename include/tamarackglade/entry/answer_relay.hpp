// Relays an upstream's answer to the caller, as one response or as a stream.
#pragma once

#include <tamarackglade/entry/answer_channel.hpp>
#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>

#include <chrono>
#include <memory>

namespace tamarack {

/// @brief Runs one call and answers its request. The caller receives the complete answer or an
/// explicit error: a broken event stream ends with an error event and without [DONE], and any other
/// broken stream is aborted.
class answer_relay
{
public:
    answer_relay(entry_context &context, const caller_request &request);

    /// @brief Runs the call in the calling fiber until the request is answered.
    void run(call_request call);

    /// @return whether the call was executed, as reported at its end; Unknown if the relay stopped
    /// before the end came. Valid after run.
    [[nodiscard]] execution ran() const { return m_ran; }

private:
    using clock = std::chrono::steady_clock;

    /// @brief Why waitForEvent returned.
    enum class wait_result { Event, CallerDisconnected, KeyWithdrawn, TimedOut, ProcessEnds };

    wait_result waitForEvent(answer_event &event);
    bool keyStillValid();
    void relayHead(const answer_head &head, const call_request &call);
    void relayData(answer_data data);
    void relayEnd(const answer_end &end);
    void appendAvailableData(std::string &bytes, std::optional<answer_event> &next);
    void finishStream();
    void fail(const api_error &error);
    void observeFirstByte();
    void observeGap();
    void countRequest();

    entry_context &m_context;
    const caller_request &m_request;
    std::shared_ptr<answer_channel> m_channel;
    clock::time_point m_started;
    clock::time_point m_deadline;
    std::uint64_t m_configVersion;
    bool m_streaming = false; // the head of a streamed response was sent
    bool m_eventStream = false; // server-sent events, which end with [DONE]
    bool m_writeFailed = false; // the caller's connection is closed
    bool m_finished = false;
    execution m_ran = execution::Unknown;
    bool m_firstByteSeen = false;
    answer_head m_head;
    std::string m_body; // of an answer that is not streamed
    burn_event m_burn; // the request's result for the service level objectives
    clock::time_point m_lastData; // when the last part of the stream arrived
    std::string m_tail; // the last bytes of a stream, to recognize [DONE]
};

} // namespace tamarack
