// The only way to an upstream: online before batch, each attempt at most once.
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

/// @brief Decides what runs at one upstream and when.
/// Online calls wait in a fair, bounded queue and never behind batch; batch streams yield as soon
/// as an online call needs their room, and resume where they stopped. Every start_call gets one
/// call_end, but for duplicates. A batch call that must run alone waits, parked, until no other one
/// runs; until it ends, no other batch call is taken. Events return the actions that follow, in
/// order. Events cost O(log calls) but where batch yields, which is linear in the calls held.
class side_gate
{
public:
    /// @param own this process's incarnation, greater than that of every earlier one
    side_gate(gate_options options, incarnation_number own);

    /// @name Frames from connected processes
    /// @{
    gate_actions onStart(const schema::start_call_message &call, connection_id from,
                         time_point now);
    gate_actions onCancel(const attempt_id &attempt, connection_id from, time_point now);
    gate_actions onRefuseAttempt(const attempt_id &attempt, connection_id from, time_point now);
    /// @}

    gate_actions onConnected(connection_id connection, time_point now);

    /// @brief Ends what the connection asked for. Calls that may not be repeated run on.
    gate_actions onDisconnected(connection_id connection, time_point now);

    /// @name Answers from the upstream; those of ended or older runs are ignored
    /// @{
    gate_actions onUpstreamHead(const upstream_run &run, std::uint16_t status,
                                const std::string &contentType, time_point now);
    gate_actions onUpstreamData(const upstream_run &run, const std::vector<std::uint8_t> &data,
                                time_point now);
    gate_actions onUpstreamEnd(const upstream_run &run, time_point now);
    /// @param neverSent whether it is certain that the upstream received nothing of the call
    gate_actions onUpstreamFailed(const upstream_run &run, bool neverSent,
                                  const std::string &message, time_point now);
    /// @}

    /// @brief Learns that the upstream serves, leaves or is down.
    gate_actions onUpstreamState(schema::upstream_state state, time_point now);

    /// @brief Sets the knob of gate_options::onlineProtection, from 0 to 1.
    void setOnlineProtection(double share) { m_pacer.setOnlineProtection(share); }

    /// @brief Learns the upstream's model version, for reports.
    void onModelVersion(const std::string &version);

    /// @brief Begins the planned stop of this process: takes nothing new, ends what it has.
    gate_actions onDrain(time_point now);

    /// @return whether a drained gate holds no call any more
    [[nodiscard]] bool isDrained() const;

    /// @brief Does what is due: expired deadlines, parked batch, reports.
    gate_actions tick(time_point now);

    /// @return when tick has something to do next
    [[nodiscard]] time_point nextDeadline(time_point now) const;

    /// @return whether the attempt is queued, running or parked
    [[nodiscard]] bool holds(const attempt_id &attempt) const
    {
        return m_calls.contains(attempt.value());
    }

    /// @return whether the run goes on: it wasn't ended, given up or parked
    [[nodiscard]] bool isRunning(const upstream_run &run) const;

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
    // The attempt of the one held call that must run alone; empty without one.
    std::string m_aloneAttempt;
    std::uint64_t m_lastTransition = 0;
    schema::upstream_state m_state = schema::upstream_state::Serving;
    bool m_draining = false;
    std::string m_modelVersion;
    // Open connections, with when each last sent a batch call.
    std::map<connection_id, std::optional<time_point>, less_by_value> m_connections;
    time_point m_nextReportAt{};
    gate_actions m_actions; // of the event in progress
};

} // namespace tamarack
