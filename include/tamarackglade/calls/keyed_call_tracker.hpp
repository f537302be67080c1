// Makes calls with an Idempotency-Key run at most once over all entries.
#pragma once

#include <tamarackglade/calls/call_failure.hpp>
#include <tamarackglade/calls/idempotency_index.hpp>
#include <tamarackglade/calls/keyed_action.hpp>
#include <tamarackglade/calls/keyed_mutation.hpp>
#include <tamarackglade/calls/keyed_request.hpp>
#include <tamarackglade/core/time.hpp>

#include <optional>
#include <string>
#include <unordered_map>

namespace tamarack {

/// @brief Delays a keyed call until the log shows that the call holds its key.
/// Each call costs two appends. While the log is unavailable, new keyed calls are refused and not
/// run.
class keyed_call_tracker
{
public:
    /// @param index must outlive the tracker; its owner folds the log into it
    /// @param claimTimeout how long a call waits until its claim is read back from the log
    /// @param maxKeptBodyBytes larger answers are not kept for replay
    keyed_call_tracker(const idempotency_index &index, std::string callIdPrefix,
                       duration claimTimeout, std::size_t maxKeptBodyBytes,
                       keyed_mutation mutation = keyed_mutation::None);

    /// @brief Claims the key of a request, or answers the request if the key is held.
    /// @param logAvailable if false, a request whose key is free is refused
    keyed_actions onRequest(const keyed_request &request, bool logAvailable, time_point now);

    /// @brief Starts or answers the waiting calls whose key is held. Has to be called after records
    /// were folded into the index.
    keyed_actions onFolded(time_point now);

    /// @brief Records the end of a call that this tracker started.
    keyed_actions onCallEnded(const request_id &request, execution ran, std::uint16_t status,
                              const std::string &contentType,
                              const std::vector<std::uint8_t> &body);

    /// @brief Refuses the calls whose wait has timed out; they never run.
    keyed_actions tick(time_point now);

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
    struct keyed_call
    {
        keyed_request request;
        std::string callId;
        time_point claimDeadline{};
    };

    [[nodiscard]] std::optional<keyed_action> answerFromIndex(const keyed_request &request) const;
    static caller_end refusal(const request_id &request, call_failure failure, execution ran);
    static schema::call_finished_message finishedRecord(const keyed_call &call, execution ran);

    const idempotency_index &m_index;
    std::string m_callIdPrefix; // unique to this process incarnation
    duration m_claimTimeout;
    std::size_t m_maxKeptBodyBytes;
    keyed_mutation m_mutation;
    std::uint64_t m_lastCall = 0;
    std::unordered_map<std::string, keyed_call> m_waiting; // by request id
    std::unordered_map<std::string, keyed_call> m_running; // by request id
};

} // namespace tamarack
