// The scheduler of one upstream: serves online before batch, and each attempt at most once.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/admission_queue.hpp>
#include <tamarackglade/gate/attempt_ledger.hpp>
#include <tamarackglade/gate/batch_pacer.hpp>
#include <tamarackglade/gate/gate_action.hpp>
#include <tamarackglade/gate/gate_options.hpp>
#include <tamarackglade/gate/gated_call.hpp>
#include <tamarackglade/gate/less_by_value.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace tamarack {

/// @brief Schedules the calls of one upstream.
/// All calls to the upstream pass through its gate. Online calls wait in a fair, bounded queue and
/// never behind batch; batch streams yield as soon as an online call needs their capacity, and
/// resume where they stopped. Every start_call gets one call_end, except duplicates. A batch call
/// that must run alone is parked until no other batch call runs; until it ends, no other batch call
/// is accepted. Each event returns the resulting actions in order. Events cost O(log calls), except
/// disconnects, ticks, and events that park, resume or end batch calls: each scan is linear in the
/// calls in the gate.
class side_gate
{
public:
    /// @param own the incarnation of this process, greater than that of every earlier one
    side_gate(gate_options options, incarnation_number own);

    /// @name Frames from connected processes
    /// @{
    /// @brief Admits, queues or refuses a call. A duplicate is ignored.
    gate_actions onStart(const schema::start_call_message &call, connection_id from,
                         time_point now);
    /// @brief Cancels a call. Ignored unless it came from this connection.
    gate_actions onCancel(const attempt_id &attempt, connection_id from, time_point now);
    /// @brief Prevents an attempt from starting if possible, and sends whether it never starts.
    gate_actions onRefuseAttempt(const attempt_id &attempt, connection_id from, time_point now);
    /// @}

    /// @brief Registers a connection and sends load reports.
    gate_actions onConnected(connection_id connection, time_point now);

    /// @brief Cancels the calls of the connection, except running calls that are not repeatable.
    gate_actions onDisconnected(connection_id connection, time_point now);

    /// @name Responses of the upstream; those of ended or earlier runs are ignored
    /// @{
    gate_actions onUpstreamHead(const upstream_run &run, std::uint16_t status,
                                const std::string &contentType, time_point now);
    gate_actions onUpstreamData(const upstream_run &run, const std::vector<std::uint8_t> &data,
                                time_point now);
    gate_actions onUpstreamEnd(const upstream_run &run, time_point now);
    /// @param neverSent whether the upstream certainly received nothing of the call
    gate_actions onUpstreamFailed(const upstream_run &run, bool neverSent,
                                  const std::string &message, time_point now);
    /// @}

    /// @brief Stores the state of the upstream. Ends waiting calls if it no longer serves.
    gate_actions onUpstreamState(schema::upstream_state state, time_point now);

    /// @brief Sets gate_options::onlineProtection, from 0 to 1.
    void setOnlineProtection(double share) { m_pacer.setOnlineProtection(share); }

    /// @brief Stores the model version of the upstream, for load reports.
    void onModelVersion(const std::string &version);

    /// @brief Starts to drain: refuses new calls, ends parked ones, and completes queued and
    /// running ones.
    gate_actions onDrain(time_point now);

    /// @return whether the gate drains and all its calls have ended
    [[nodiscard]] bool isDrained() const;

    /// @brief Ends expired calls, starts waiting ones and sends load reports that are due.
    gate_actions tick(time_point now);

    /// @return when tick should be called next
    [[nodiscard]] time_point nextDeadline(time_point now) const;

    /// @return whether the attempt is queued, running or parked
    [[nodiscard]] bool holds(const attempt_id &attempt) const
    {
        return m_calls.contains(attempt.value());
    }

    /// @return whether the run is in progress: neither ended, cancelled nor parked
    [[nodiscard]] bool isRunning(const upstream_run &run) const;
    /// @return where the frames of a run go; nullopt if it isn't running
    [[nodiscard]] std::optional<connection_id> connectionOf(const upstream_run &run) const;

    [[nodiscard]] std::size_t onlineRunning() const { return m_onlineRunning; }
    [[nodiscard]] std::size_t batchRunning() const { return m_batchRunning; }
    [[nodiscard]] std::size_t onlineQueued() const { return m_queue.size(); }
    [[nodiscard]] std::size_t batchParked() const { return m_parked; }

private:
    using calls = std::unordered_map<std::string, gated_call>;

    void handleNewCall(const schema::start_call_message &call, const call_attempt_name &name,
                       connection_id from, time_point now);
    void queueOnline(const gated_call &held, time_point now);
    void startBatch(const gated_call &held, time_point now);
    void parkUnopened(gated_call held, time_point now);
    [[nodiscard]] bool mayResume(const gated_call &held) const;
    [[nodiscard]] bool acceptsCalls() const;
    [[nodiscard]] std::size_t currentBatchLimit() const;
    [[nodiscard]] std::size_t onlineLimit() const;

    void startWaitingCalls(time_point now);
    void startQueuedOnline(time_point now);
    void yieldBatch(std::size_t online, time_point now);
    void resumeBatch(time_point now);
    void expireParked(time_point now);
    void open(gated_call &held);
    void park(gated_call &held, time_point now);
    gated_call *newestRunningBatch();
    gated_call *oldestParked();
    gated_call *runningCall(const upstream_run &run);

    void endNotStarted(const gated_call &held, const std::string &code, duration retryAfter,
                       time_point now);
    void endStarted(const gated_call &held, schema::call_outcome outcome, const std::string &code,
                    const std::string &message, time_point now);
    void cancelCall(gated_call &held, const std::string &code, time_point now);
    void endWaitingCalls(const std::string &code, bool online, time_point now);
    void removeCall(const gated_call &held);
    void countRunning(const gated_call &held, bool running);
    void abortRun(const gated_call &held);
    void sendEnd(connection_id to, const std::string &attempt, schema::call_outcome outcome,
                 const std::string &code, const std::string &message, duration retryAfter);
    void send(connection_id to, side_frame frame);
    void reportToAll(time_point now);
    std::uint32_t creditsFor(connection_id connection, std::size_t position, time_point now) const;
    gate_actions takeActions();

    gate_options m_options;
    attempt_ledger m_ledger;
    batch_pacer m_pacer;
    // Invariant: holds exactly the ids of the calls in phase Queued, all of them online.
    admission_queue m_queue;
    calls m_calls;
    // Invariant: these three count the calls of m_calls by class and phase.
    std::size_t m_onlineRunning = 0;
    std::size_t m_batchRunning = 0;
    std::size_t m_parked = 0;
    // The attempt of the only call in the gate that must run alone; empty if there is none.
    std::string m_aloneAttempt;
    std::uint64_t m_lastTransition = 0;
    schema::upstream_state m_state = schema::upstream_state::Serving;
    bool m_draining = false;
    std::string m_modelVersion;
    // Open connections, with the time of the last batch call from each.
    std::map<connection_id, std::optional<time_point>, less_by_value> m_connections;
    time_point m_nextReportAt{};
    gate_actions m_actions; // of the event in progress
};

} // namespace tamarack
