// Passes the frames of entries to the side's gate and performs the gate's actions.
#pragma once

#include <tamarackglade/buffers/byte_quota.hpp>
#include <tamarackglade/gate/side_gate.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/resumable_answer.hpp>
#include <tamarackglade/side/upstream_call.hpp>
#include <tamarackglade/wire/wire_handler.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace tamarack {

/// @brief The upstream of a side and the limits of its gate.
struct side_options
{
    std::string upstreamAddress; // "ip:port"
    gate_options gate;
    std::size_t responseBytes = 0; // of all responses that are held until they are whole
};

/// @brief Runs calls on the upstream as the gate decides. Used on one thread; fibers may switch at
/// every I/O, but never within an event of the gate.
class side_server
{
public:
    side_server(io_thread &thread, metric_registry &metrics, side_options options,
                incarnation_number self);

    /// @brief Starts the fiber that ticks the gate.
    void start();

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    void onFrame(const std::shared_ptr<wire_peer> &peer, const schema::frame_message &frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

    /// @brief Sets gate_options::onlineProtection, from 0 to 1.
    void setOnlineProtection(double share) { m_gate.setOnlineProtection(share); }

    /// @brief Refuses new calls from now on; idempotent.
    void drain();
    /// @return whether the gate drains and holds no call
    [[nodiscard]] bool isDrained() const { return m_gate.isDrained(); }
    [[nodiscard]] std::size_t activeCalls() const { return m_running.size(); }

private:
    class run_events;

    /// @brief The answer of a resumable batch call, over all its runs.
    struct held_answer
    {
        held_answer(resumable_answer empty, byte_quota &quota)
            : answer(std::move(empty)), held(quota)
        {
        }

        resumable_answer answer;
        byte_quota::share held;
    };

    void tickLoop();
    void perform(const gate_actions &actions);
    void open(const open_upstream &action);
    void send(const send_frame &action);
    /// @brief Waits until the connection of a run has written most of its frames.
    void waitForRoom(const upstream_run &run);
    void finishRun(const upstream_run &run);
    std::shared_ptr<held_answer> findOrCreateAnswer(const schema::start_call_message &call);
    void removeEndedAnswers();

    io_thread &m_thread;
    metric_registry &m_metrics;
    side_options m_options;
    side_gate m_gate;
    bool m_draining = false;
    std::map<connection_id, std::shared_ptr<wire_peer>> m_peers;
    byte_quota m_responseBytes; // of the responses below
    std::map<upstream_run, std::shared_ptr<upstream_call>> m_running;
    // Answers of resumable batch calls, by attempt. A tick removes those that the gate no longer
    // holds.
    std::map<std::string, std::shared_ptr<held_answer>> m_answers;
};

} // namespace tamarack
