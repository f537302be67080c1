// The process on an entry VM: creates and connects its parts.
#pragma once

#include <tamarackglade/entry/batch_dispatcher.hpp>
#include <tamarackglade/entry/call_dispatcher.hpp>
#include <tamarackglade/entry/job_controller.hpp>
#include <tamarackglade/entry/job_service.hpp>
#include <tamarackglade/entry/request_dispatcher.hpp>
#include <tamarackglade/http/admin_server.hpp>
#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/http/tls_context.hpp>
#include <tamarackglade/node/config_service.hpp>
#include <tamarackglade/node/live_settings.hpp>
#include <tamarackglade/node/process_mutations.hpp>
#include <tamarackglade/node/process_status.hpp>
#include <tamarackglade/node/side_status_registry.hpp>
#include <tamarackglade/node/vm_watch.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/settings/setting_values.hpp>
#include <tamarackglade/settings/settings_watch.hpp>
#include <tamarackglade/wire/status_handler.hpp>
#include <tamarackglade/wire/wire_server.hpp>

#include <absl/status/status.h>

#include <memory>
#include <optional>
#include <vector>

namespace tamarack {

/// @brief Serves callers until a stop signal. The control thread runs the wire connections, the log
/// and the admin listener; each serving thread has its own listener on the callers' address.
class entry_process final : public wire_handler
{
public:
    entry_process(const setting_values &settings, const wire_settings &wire,
                  const process_mutations &mutations = {});

    /// @brief Starts all parts.
    /// @return OK, or the error of the first part that failed to start
    absl::Status start();

    /// @brief Serves until SIGTERM or SIGINT, then drains; ends the process.
    [[noreturn]] void runUntilStopped();

    void onConnected(const std::shared_ptr<wire_peer> &peer) override;
    void onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame) override;
    void onClosed(const std::shared_ptr<wire_peer> &peer) override;

private:
    absl::Status startTls();
    absl::Status startServing();
    http_server_options serverOptions();
    void onConfig(const config_state &state, bool serving);
    void onVmList(const vm_list &list, time_point readAt);
    void updatePeers();
    void updateConfigPeers();
    void callTickLoop();
    void updateReadiness();
    /// @return whether all listed sides are connected or MaxSideWait has passed since the start
    bool isSideWaitOver();
    void reloadTlsLoop();
    void drain();
    bool isReleased();
    std::size_t activeRequests() const;
    process_status status();

    const setting_values &m_settings;
    const wire_settings &m_wire;
    const process_mutations m_mutations;
    live_settings m_live;
    metric_registry m_metrics;
    config_store m_config;
    peer_directory m_peers;
    call_dispatcher m_calls;
    std::optional<tls_context> m_tls;
    std::atomic<bool> m_endNow{false}; // a second stop signal was received
    std::atomic<bool> m_draining{false};
    const time_point m_startedAt = bootNow();
    // The members below are used on the control thread only.
    bool m_serving = false; // a configuration is confirmed
    bool m_drained = false; // by an operator
    bool m_sideWaitOver = false; // isSideWaitOver returned true once
    side_status_registry m_sideRegistry;

    io_thread m_control;
    platform_client m_platform;
    limit_service m_limits;
    burn_service m_burn;
    keyed_call_service m_keyed;
    batch_dispatcher m_batchDispatcher;
    job_service m_jobs;
    job_controller m_controller;
    std::atomic<bool> m_processEnds{false};
    entry_context m_context;
    request_dispatcher m_requestDispatcher;
    config_service m_configService;
    vm_watch m_vmWatch;
    status_handler m_statusHandler;
    wire_server m_wireServer;
    admin_server m_admin;
    settings_watch m_settingsWatch;
    std::vector<std::unique_ptr<io_thread>> m_threads;
    std::vector<std::unique_ptr<http_server>> m_servers;
};

} // namespace tamarack
