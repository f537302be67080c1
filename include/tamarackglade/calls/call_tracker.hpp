// The calls of one entry process: attempts, retries and final answers.
#pragma once

#include <tamarackglade/calls/call_action.hpp>
#include <tamarackglade/calls/call_failure.hpp>
#include <tamarackglade/calls/retry_budget.hpp>
#include <tamarackglade/calls/tracked_call.hpp>
#include <tamarackglade/calls/tracker_options.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/upstream_chooser.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Sends calls to upstreams and answers each exactly once.
/// A call is sent to another upstream only if it is proved that the earlier attempts never start,
/// or if it may be repeated and no part of an answer was passed to the caller. "Not executed" is
/// reported only on proof. Frames are matched by attempt id; those of ended attempts are ignored.
/// Events cost O(log calls), except for lost connections, which are linear in the open calls.
class call_tracker
{
public:
    /// @param chooser must outlive the tracker
    /// @param incarnation of this process; greater than that of every earlier process on this VM
    call_tracker(tracker_options options, vm_id vm, incarnation_number incarnation,
                 upstream_chooser &chooser);

    /// @brief Starts the first attempt of a request. Its id must not be in use.
    call_actions onRequest(tracked_request request, time_point now);

    /// @brief Ends a request whose caller disconnected or whose key was withdrawn.
    call_actions onCallerDisconnected(const request_id &request, time_point now);

    /// @name Frames from sides
    /// @{
    call_actions onHead(const schema::call_head_message &frame, time_point now);
    call_actions onData(const schema::call_data_message &frame, time_point now);
    call_actions onEnd(const schema::call_end_message &frame, time_point now);
    call_actions onRefuseAnswer(const schema::refuse_answer_message &frame, time_point now);
    /// @}

    /// @brief Handles a new connection to an upstream's side process, after its hello.
    call_actions onSideConnected(const upstream_id &upstream, incarnation_number side,
                                 time_point now);
    call_actions onSideDisconnected(const upstream_id &upstream, time_point now);

    /// @brief Handles the permanent loss of an upstream's VM, which will send no more proofs.
    call_actions onSideLost(const upstream_id &upstream, time_point now);

    /// @brief Handles calls whose deadline or wait for a proof has ended.
    call_actions tick(time_point now);

    /// @return when tick has to be called next; none without open calls
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }

private:
    using deadline_key = std::pair<time_point, std::string>;

    void sendAttempt(tracked_call &call, time_point now);
    std::optional<upstream_id> chooseConnected(tracked_call &call, time_point now);
    void onNotStarted(tracked_call &call, time_point now);
    void onMayHaveRun(tracked_call &call, call_failure failure, time_point now);
    void awaitSide(tracked_call &call, time_point now);
    void requestProof(tracked_call &call);
    void complete(tracked_call &call, time_point now);
    void fail(tracked_call &call, call_failure failure, time_point now);
    void endAttempt(tracked_call &call, attempt_result result, time_point now);
    void finish(const tracked_call &call, caller_end end);
    [[nodiscard]] execution executionSoFar(const tracked_call &call) const;
    [[nodiscard]] bool mayResend(const tracked_call &call) const;
    void setDue(tracked_call &call, time_point due);
    void loseConnection(const upstream_id &upstream, time_point now);
    tracked_call *findCall(const std::string &attempt);
    std::vector<std::string> callIdsAt(const upstream_id &upstream) const;
    call_actions takeActions();

    tracker_options m_options;
    vm_id m_vm;
    incarnation_number m_incarnation;
    upstream_chooser &m_chooser;
    retry_budget m_budget;
    std::uint64_t m_lastSequence = 0;
    // Incarnations of the connected side processes, by upstream.
    std::unordered_map<upstream_id, incarnation_number> m_connectedSides;
    std::unordered_map<std::string, tracked_call> m_calls; // by request id
    // Invariant: maps the current attempt of each call in m_calls, and no other.
    std::unordered_map<std::string, std::string> m_requestOfAttempt;
    // Invariant: holds the due time of each call in m_calls.
    std::set<deadline_key> m_due;
    call_actions m_actions; // of the event in progress
};

} // namespace tamarack
