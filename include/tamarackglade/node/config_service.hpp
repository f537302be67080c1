// Runs the configuration's spread in a process: log and peers in, the store out.
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

/// @brief Keeps the process's configuration current. Thread-safe once started.
class config_service
{
public:
    /// Told of each new state, and of whether the process may serve with it.
    using change_listener =
        std::function<void(const std::shared_ptr<const config_state> &state, bool serving)>;

    /// All references must outlive the thread.
    config_service(io_thread &thread, platform_client &platform, peer_directory &peers,
                   config_store &store, const vm_id &self,
                   config_mutation mutation = config_mutation::None);

    /// @brief Adds a listener; before start. Called in a fiber of the thread.
    void addListener(change_listener listener);

    /// @brief Begins to tail the log and to gossip.
    void start();

    /// @brief Sets the processes to gossip with.
    void setPeers(const std::vector<vm_id> &peers);

    /// @brief Takes a frame of the configuration's protocol.
    /// @return whether it was one
    bool onFrame(const vm_id &from, const schema::frame_message &frame);

    /// @return whether the process may serve, and why not
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
