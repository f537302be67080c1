// Carries out what the side's order dispatcher decides.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/orders/order_dispatcher.hpp>
#include <tamarackglade/platform/log_tailer.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <memory>
#include <string>

namespace tamarack {

/// @brief Follows the stream of orders and gives this VM's orders to the upstream.
/// Used on one thread. All references must outlive it.
class order_service
{
public:
    /// @param acceptsOrders whether the upstream is a model engine
    order_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                  const vm_id &self, const std::string &upstreamAddress, bool acceptsOrders);

    /// @brief Takes the weight store's rate; begins to work with the first manifest.
    void onConfig(const config_state &state);

    /// @return the latest orders to this upstream
    [[nodiscard]] const std::deque<tracked_order> &orders() const { return m_dispatcher.orders(); }

private:
    void start();
    void workLoop();
    void perform(const order_action &action);
    void queryUpstreamState();
    void rereadOrders(log_offset from);
    void sendOrder(const send_order &action);
    void onRead(const log_read &read, bool atEnd);

    io_thread &m_thread;
    platform_client &m_platform;
    metric_registry &m_metrics;
    http_client m_upstream; // one connection: the upstream sees what is sent in this order
    order_dispatcher m_dispatcher;
    std::unique_ptr<log_tailer> m_tailer;
};

} // namespace tamarack
