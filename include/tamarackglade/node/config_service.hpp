// Keeps a process's configuration current from the log and from peers, and stores it.
#pragma once

#include <tamarackglade/config/config_spread.hpp>
#include <tamarackglade/node/config_store.hpp>
#include <tamarackglade/platform/log_tailer.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/wire/peer_directory.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarack {

/// @brief Runs config_spread with the log and the peers of a process, and replaces the
/// configuration in the config_store. Thread-safe once started.
class config_service
{
public:
    /// Called with each new state; serving is whether the process may serve with it.
    using change_listener =
        std::function<void(const std::shared_ptr<const config_state> &state, bool serving)>;

    /// All references must outlive the thread's fibers.
    config_service(io_thread &thread, platform_client &platform, peer_directory &peers,
                   config_store &store, const vm_id &self,
                   config_mutation mutation = config_mutation::None);

    /// @brief Adds a listener, which is called in a fiber of the thread. Only before start().
    void addListener(change_listener listener);

    /// @brief Starts reading the log and the gossip with peers.
    void start();

    /// @brief Replaces the processes to gossip with.
    void setPeers(const std::vector<vm_id> &peers);

    /// @brief Processes a frame of the configuration protocol.
    /// @return false if the frame belongs to another protocol
    bool onFrame(const vm_id &from, const schema::frame_message &frame);

    /// @return whether the process may serve, or the reason why it may not
    [[nodiscard]] config_readiness readiness();

private:
    void onRead(const log_read &read);
    void onLogDown();
    void tickLoop();
    void perform(const config_actions &actions);
    void performOne(const config_action &action);

    io_thread &m_thread;
    platform_client &m_platform;
    peer_directory &m_peers;
    config_store &m_store;
    std::vector<change_listener> m_listeners; // fixed once started
    std::unique_ptr<log_tailer> m_tailer;
    std::mutex m_mutex; // guards m_spread
    config_spread m_spread;
};

} // namespace tamarack
