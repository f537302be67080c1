// The side's wire handler: carries out what its gate decides.
#pragma once

#include <tamarackglade/gate/side_gate.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/resumable_answer.hpp>
#include <tamarackglade/side/upstream_call.hpp>
#include <tamarackglade/wire/wire_handler.hpp>

#include <map>
#include <memory>
#include <string>

namespace tamarack {

/// @brief What a side serves.
struct side_options
{
    std::string upstreamAddress;
    gate_options gate;
};

/// @brief Used on one thread; its fibers may interleave at every I/O, the gate's events don't.
class side_server
{
public:
    side_server(io_thread &thread, metric_registry &metrics, side_options options,
                incarnation_number self);

    /// @brief Begins to tick the gate.
    void start();

    void onConnected(const std::shared_ptr<wire_peer> &peer);
    void onFrame(const std::shared_ptr<wire_peer> &peer, const schema::frame_message &frame);
    void onClosed(const std::shared_ptr<wire_peer> &peer);

    /// @brief Sets how much of batch's room is given up for the online tail, from 0 to 1.
    void setOnlineProtection(double share) { m_gate.setOnlineProtection(share); }

    /// @brief Takes no new calls; idempotent.
    void drain();
    /// @return whether no call is held any more
    [[nodiscard]] bool isDrained() const { return m_gate.isDrained(); }
    [[nodiscard]] std::size_t activeCalls() const { return m_running.size(); }

private:
    class run_events;

    void tickLoop();
    void perform(const gate_actions &actions);
    void open(const open_upstream &action);
    void send(const send_frame &action);
    void finishRun(const upstream_run &run);
    std::shared_ptr<resumable_answer> findOrCreateAnswer(const schema::start_call_message &call);
    void removeEndedAnswers();

    io_thread &m_thread;
    metric_registry &m_metrics;
    side_options m_options;
    side_gate m_gate;
    bool m_draining = false;
    std::map<connection_id, std::shared_ptr<wire_peer>> m_peers;
    std::map<upstream_run, std::shared_ptr<upstream_call>> m_running;
    // Of batch calls that can be resumed, by attempt; those that the gate dropped go with a tick.
    std::map<std::string, std::shared_ptr<resumable_answer>> m_answers;
};

} // namespace tamarack
