// The side daemon: constructs and connects its parts.
#pragma once

#include <tamarackglade/http/admin_server.hpp>
#include <tamarackglade/node/config_service.hpp>
#include <tamarackglade/node/live_settings.hpp>
#include <tamarackglade/node/process_mutations.hpp>
#include <tamarackglade/node/process_status.hpp>
#include <tamarackglade/settings/setting_values.hpp>
#include <tamarackglade/settings/settings_watch.hpp>
#include <tamarackglade/side/order_service.hpp>
#include <tamarackglade/side/side_server.hpp>
#include <tamarackglade/wire/status_handler.hpp>
#include <tamarackglade/wire/wire_server.hpp>

#include <absl/status/status.h>

namespace tamarack {

/// @brief Runs calls of entries on the upstream until the process is stopped; all on one thread.
class side_process final : public wire_handler
{
public:
    side_process(const setting_values &settings, const wire_settings &wire,
                 const process_mutations &mutations = {});

    /// @brief Starts all parts.
    /// @return the error of the first part that can't start
    absl::Status start();
    /// @brief Serves until SIGTERM or SIGINT, then drains and ends the process. A second signal
    /// ends the drain.
    [[noreturn]] void runUntilStopped();

    void onConnected(const std::shared_ptr<wire_peer> &peer) override;
    void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame) override;
    void onClosed(const std::shared_ptr<wire_peer> &peer) override;

private:
    void onConfig(const config_state &state);
    void updatePeers();
    void drain();
    process_status status() const;

    const setting_values &m_settings;
    const wire_settings &m_wire;
    const process_mutations m_mutations;
    live_settings m_liveSettings;
    metric_registry m_metrics;
    config_store m_config;
    peer_directory m_peers;
    bool m_endNow = false; // set by a second stop signal
    bool m_draining = false;
    io_thread m_thread;
    platform_client m_platform;
    config_service m_configService;
    side_server m_server;
    order_service m_orders;
    status_handler m_statusHandler;
    wire_server m_wireServer;
    admin_server m_admin;
    settings_watch m_settingsWatch;
};

} // namespace tamarack
