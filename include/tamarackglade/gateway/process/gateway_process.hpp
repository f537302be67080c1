// The gateway process: its components, start, readiness and stop.
#pragma once

#include <tamarackglade/gateway/batch/batch_api.hpp>
#include <tamarackglade/gateway/batch/batch_runner.hpp>
#include <tamarackglade/gateway/exchange/peer_link.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/gateway/relay/request_router.hpp>
#include <tamarackglade/gateway/upstream/upstream_watch.hpp>
#include <tamarackglade/http/admin_server.hpp>
#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/settings/settings_watch.hpp>

#include <absl/status/status.h>

#include <memory>

namespace tamarack {

/// @brief Owns all components of a gateway and runs them on one thread. A gateway has no durable
/// state of its own: it reads configuration, upstreams, members and batch jobs from the store at
/// each start.
class gateway_process final : private peer_waiting_listener
{
public:
    /// @param store must outlive the gateway_process
    /// @param protocol must outlive the gateway_process
    gateway_process(io_thread &thread, const setting_values &settings, record_store &store,
                    const platform_protocol &protocol);

    /// @brief Starts all components and listens.
    /// @return an error if an address can't be used
    absl::Status start();
    /// @brief Waits for a stop signal, finishes the requests in progress and ends the process.
    [[noreturn]] void runUntilStopped();

private:
    void onPeerWaiting() override { m_batches.onPeerWaiting(); }
    bool onYieldAsked(const upstream_id &upstream) override { return m_batches.yieldAt(upstream); }

    absl::Status startServers();
    void tickLoop();
    /// @brief Records by how much a turn of the event loop was late. Input that arrived meanwhile
    /// looks late, too.
    void recordLoopDelay(duration delay);
    void readinessLoop();
    void reportBudget();
    /// @return why this gateway is not ready for callers; empty if it is ready
    [[nodiscard]] std::string notReadyReason() const;
    void onConfig(const forward_config &config);
    void onSettings(const setting_values &values);
    void drain();
    void answerReadiness(http_exchange &exchange);

    io_thread &m_thread;
    gateway_options m_options;
    const time_point m_startedAt;
    metric_registry m_metrics;
    upstream_directory m_directory;
    const gateway_member m_self;
    peer_table m_peerTable;
    shared_rates<customer_id> m_rates;
    upstream_rates m_upstreamRates;
    slot_allocator m_allocator;
    slot_queue m_queue;
    blocking_slot_queue m_blockingQueue;
    operator_requests m_requests;
    config_watch m_config;
    rate_exchange m_rateExchange;
    leaving_exchange m_leavingExchange;
    upstream_pool m_pool;
    upstream_watch m_upstreams;
    upstream_caller m_caller;
    prompt_quarantine m_quarantine;
    request_quarantine m_requestQuarantine;
    quarantine_exchange m_quarantineExchange;
    origin_exchange m_origins;
    open_calls m_openCalls;
    gateway_context m_context;
    batch_store m_batchStore;
    batch_api m_batchApi;
    peer_link m_peers;
    batch_runner m_batches;
    request_router m_router;
    settings_watch m_settings;
    const std::shared_ptr<connection_budget> m_budget; // of all listeners
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    admin_server m_admin;
    std::string m_notReadyReason = "starting"; // last logged reason; empty if ready
    bool m_draining = false;
};

} // namespace tamarack
