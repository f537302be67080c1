// The side's wire handler: runs calls on the upstream and reports the load.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/upstream_call.hpp>
#include <tamarackglade/wire/wire_handler.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace tamarack {

/// @brief What a side serves.
struct side_options
{
    std::string upstreamAddress;
    group_id group;
    schema::upstream_kind kind = schema::upstream_kind::Engine;
    std::chrono::milliseconds reportPeriod{250};
};

/// @brief Accepts calls from entries on one thread.
class side_server final : public wire_handler
{
public:
    side_server(io_thread &thread, side_options options);

    void onConnected(const std::shared_ptr<wire_peer> &peer) override;
    void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame) override;
    void onClosed(const std::shared_ptr<wire_peer> &peer) override;

    /// @brief Takes no new calls.
    void drain();
    /// @return calls under way
    [[nodiscard]] std::size_t activeCalls();

private:
    class running_events;
    struct running_call
    {
        std::shared_ptr<upstream_call> call;
        std::uint64_t connection = 0;
    };

    void startCall(const std::shared_ptr<wire_peer> &peer, const schema::start_call_message &start);
    void cancelCall(const std::string &attempt);
    void finishCall(const std::string &attempt);
    schema::load_report_message report();
    void reportLoop();

    io_thread &m_thread;
    side_options m_options;
    std::mutex m_mutex; // guards the members below
    std::map<std::uint64_t, std::shared_ptr<wire_peer>> m_peers;
    std::unordered_map<std::string, running_call> m_running; // by attempt
    bool m_draining = false;
};

} // namespace tamarack
