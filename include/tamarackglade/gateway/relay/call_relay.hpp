// Forwards one online request to an upstream, and to others if that one fails.
#pragma once

#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/gateway/relay/slot_reservation.hpp>
#include <tamarackglade/gateway/upstream/run_observer.hpp>
#include <tamarackglade/http/http_exchange.hpp>
#include <tamarackglade/resumption/stream_origin.hpp>

#include <optional>
#include <set>
#include <string>

namespace tamarack {

/// @brief Relays one request. Lives as long as the request, in its connection's fiber.
///
/// A request that is not idempotent is sent to a second upstream only if the first provably has not
/// run it. A resumable stream continues at another upstream after the last event that was passed on
/// to the caller, and keeps the response head of the first upstream.
class call_relay final : private response_sink
{
public:
    /// @param customer whose key came with the request, or nullopt on an open route
    call_relay(gateway_context &context, http_exchange &exchange, forward_call call,
               const forward_route &route, std::optional<customer_id> customer, int priority,
               time_point arrivedAt);

    /// @brief Answers the request or closes its connection.
    void serve();

private:
    void onUnknownStart() override;
    bool onSilence() override;
    void onProgress() override { m_successor.reset(); }
    bool onHead(const http_response &head, const response_metadata &metadata) override;
    bool onEvent(const stream_event &event) override;
    bool onFlush() override;

    /// @return whether a slot was granted; otherwise the request has been answered or its stream
    /// aborted
    bool acquireSlot();
    /// @brief Lets a request whose run was abandoned use upstreams again if it has tried all.
    void readmitUpstreams(time_point now);
    /// @brief Registers a run at the quarantines.
    /// @return why the request must not run; empty if it may
    std::string beginRun(const live_upstream &upstream);
    /// @brief Sends the request to m_upstream.
    attempt_result attempt();
    /// @brief Logs a failed attempt and excludes its upstream.
    /// @return whether to try again
    bool mayRetry(const attempt_result &result);
    /// @brief Waits a moment before a request that was refused often asks further upstreams.
    /// @return whether it may ask them
    bool pauseAfterRefusals();
    /// @return whether a quarantine would refuse the request in the group
    bool isQuarantined(const group_id &group);
    void respondWithFailure(const attempt_result &result);
    void refuseUnavailable(const std::string &code);
    /// @brief Finds where the stream began that the caller takes up.
    /// @return false if it is unknown and the request has been refused
    bool findOrigin();
    /// @brief Records where the stream begins, at its first event.
    void beginStream();
    /// @brief Makes upstreams of the origin's group and version the only ones that may go on.
    void setOrigin(const stream_origin &origin);
    /// @return why no upstream can go on with the stream; empty if one can or if it is a new stream
    [[nodiscard]] std::string notResumableReason() const;
    /// @brief Logs why the stream doesn't go on, and ends the request.
    void refuseResume(const std::string &reason, duration retryAfter = {});
    /// @brief Ends a request whose group has no upstream that accepts work. How soon one comes
    /// isn't known.
    void refuseWithoutUpstream();
    /// @brief Ends a request whose prompt holds a quarantined part.
    void refuseQuarantined(const blocked_part &blocked);
    /// @brief Ends a request that crashes upstreams, or may do so.
    void refuseCrashing(const blocked_request &blocked);
    /// @brief Closes the caller's connection without the end of an answer.
    void breakOff();
    void forwardResponse(const attempt_result &result);
    [[nodiscard]] bool idempotent() const;
    /// @return whether the upstream has to confirm that its record is of its present start
    [[nodiscard]] start_check startCheck() const;
    /// @brief Asks for a slot at another upstream that could run the request, or go on with it.
    void reserveSuccessor();
    /// @return the version of the present run, if a later record shows it
    [[nodiscard]] software_version versionOfRun() const;
    [[nodiscard]] duration timeLeft() const;
    [[nodiscard]] duration firstEventTimeout() const;
    void onCallerDisconnected();
    void onProcessEnds();
    /// @brief Stops waiting and running.
    void cancel();
    /// @brief Ends a request that was cancelled: the caller has gone, or the process is about to
    /// end.
    void endCancelled();
    void logEnd();

    gateway_context &m_context;
    http_exchange &m_exchange;
    const forward_call m_call;
    const forward_route &m_route;
    const std::optional<customer_id> m_customer;
    const int m_priority;
    const time_point m_arrivedAt;
    const request_fingerprint m_fingerprint;
    time_point m_deadline;
    placement_request m_placement;
    upstream_id m_upstream; // of the current or last attempt
    std::optional<waiter_id> m_waiter; // while the request waits for a slot
    // Slot of the next run, while the present one is silent. A run is abandoned for its silence
    // only if this slot is held.
    std::optional<slot_reservation> m_successor;
    bool m_silenceReported = false; // of the present run
    std::set<upstream_id> m_abandoned; // upstreams whose runs were abandoned for their silence
    attempt_handle m_handle;
    stream_progress m_progress;
    std::optional<stream_origin> m_origin; // set by the first event of the stream
    bool m_callerDisconnected = false;
    bool m_processEnds = false;
    bool m_mayHaveRun = false; // some upstream may have run the request
    unsigned m_runs = 0; // attempts at which the request may have run
    unsigned m_refusals = 0; // attempts at which the request did not run
    http_response m_head; // response head, sent with the first events
    std::string m_pending; // events that are not written to the caller yet
    // Fields of the log event at the end.
    std::string m_outcome;
    unsigned m_status = 0;
    bool m_brokenOff = false; // the caller is there, but gets no end of its answer
    duration m_waited{};
    std::optional<time_point> m_firstEventAt;
    unsigned m_events = 0;
    live_upstream m_sentTo; // the upstream of the current or last attempt, as it was known then
    software_version m_runVersion; // of that upstream; empty if unknown
    unsigned m_runEvents = 0; // events of the current or last attempt
    run_observer *m_observer = nullptr; // during an attempt
};

} // namespace tamarack
