// Carries an upstream's answer to the caller, whole or streamed.
#pragma once

#include <tamarackglade/entry/answer_channel.hpp>
#include <tamarackglade/entry/caller_request.hpp>
#include <tamarackglade/entry/entry_context.hpp>

#include <chrono>
#include <memory>

namespace tamarack {

/// @brief Runs one call and answers its request. The caller gets the whole answer, or an explicit
/// error: a stream that breaks ends with an error event and without [DONE].
class answer_relay
{
public:
    answer_relay(entry_context &context, const caller_request &request);

    /// @brief Runs the call in the calling fiber until the request is answered.
    void run(call_request call);

    /// @return whether the call ran, as far as its end told; valid after run
    [[nodiscard]] execution ran() const { return m_ran; }

private:
    using clock = std::chrono::steady_clock;

    /// What waiting for the next event gave.
    enum class wait_result { Event, CallerDisconnected, KeyWithdrawn, TimedOut };

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
    bool m_streaming = false; // the caller's answer is a stream that has begun
    bool m_eventStream = false; // the stream is server-sent events, which end in [DONE]
    bool m_writeFailed = false; // the caller's connection is gone
    bool m_finished = false;
    execution m_ran = execution::Unknown;
    bool m_firstByteSeen = false;
    answer_head m_head;
    std::string m_body; // of an answer that isn't streamed
    burn_event m_burn; // what the request means for the objectives
    clock::time_point m_lastData; // when the last part of the stream came
    std::string m_tail; // the last bytes of a stream, to recognize [DONE]
};

} // namespace tamarack
