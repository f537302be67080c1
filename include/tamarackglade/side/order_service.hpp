// Performs the actions of the side's order dispatcher.
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

/// @brief Reads the log stream of orders and sends this VM's orders to the upstream.
/// Used on one thread. All references must outlive the object.
class order_service
{
public:
    /// @param upstreamAddress "ip:port"
    /// @param acceptsOrders whether the upstream is a model engine; otherwise all orders are
    /// refused
    order_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                  const vm_id &self, const std::string &upstreamAddress, bool acceptsOrders);

    /// @brief Sets the rate of loads from the weight store; starts reading and sending orders with
    /// the first manifest.
    void onConfig(const config_state &state);

    /// @return the latest orders to this upstream, in order of their fencing numbers
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
    http_client m_upstream; // a single connection, so that requests arrive in the order sent
    order_dispatcher m_dispatcher;
    std::unique_ptr<log_tailer> m_tailer;
};

} // namespace tamarack
