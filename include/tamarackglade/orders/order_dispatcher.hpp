// Sends orders to the upstream: fenced, one at a time, and loads at a limited rate.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/orders/order_action.hpp>
#include <tamarackglade/orders/order_answer.hpp>
#include <tamarackglade/orders/order_fold.hpp>
#include <tamarackglade/orders/order_mutation.hpp>
#include <tamarackglade/orders/orders_read.hpp>
#include <tamarackglade/orders/tracked_order.hpp>
#include <tamarackglade/orders/upstream_state_report.hpp>
#include <tamarackglade/orders/weight_store_limiter.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Selects the orders that are sent to the upstream and refuses stale ones.
/// Some upstreams ignore fencing numbers, so the side itself must not send stale orders. No state
/// survives a restart: the dispatcher sends no order until it has read the log to its end and the
/// upstream has reported which orders are in force. Both must be recent whenever an order is sent,
/// so that a process that was paused first reads them again.
///
/// The caller performs one action at a time and reports its result before it calls next again.
class order_dispatcher
{
public:
    /// @param self the VM whose orders are sent; loads of all VMs share the rate of the limiter
    order_dispatcher(vm_id self, weight_store_limiter limiter,
                     order_mutation mutation = order_mutation::None);

    /// @brief Refuses all orders from now on, for an upstream that does not support orders.
    void rejectAllOrders() { m_acceptsOrders = false; }
    /// @brief Changes the rate of loads from the weight store, for orders read from now on.
    void setLoadRate(duration interval, int burst);

    /// @brief Adds the orders read from the log. Records that were read before are ignored.
    void onRead(const orders_read &read, time_point now);
    /// @brief Schedules a retry of a failed read of the log.
    void onReadFailed(time_point now);
    /// @brief Stores which orders are in force at the upstream.
    /// @param requestedAt when the query was sent
    void onUpstreamState(const upstream_state_report &report, time_point requestedAt,
                         time_point now);
    /// @brief Schedules a retry of a failed query of the state.
    /// @param why reason, stored in the message of the next waiting order
    void onUpstreamStateFailed(const std::string &why, time_point now);
    /// @brief Stores the result of the order that was sent last; retries it unless it is final.
    void onAnswer(const order_answer &answer, time_point now);

    /// @return the next action; nullopt if there is nothing to do now
    std::optional<order_action> next(time_point now);

    /// @return the latest orders to this upstream, in order of their fencing numbers
    [[nodiscard]] const std::deque<tracked_order> &orders() const { return m_orders; }

private:
    void trackOrder(const folded_order &folded, time_point appendedAt, time_point now);
    void supersedeWaiting(schema::order_kind kind);
    void trimOrders();
    [[nodiscard]] bool isNewest(const tracked_order &entry) const;
    [[nodiscard]] time_point estimateAppendTime(const folded_order &folded, const orders_read &read,
                                                time_point now) const;
    void compareWithUpstream(time_point now);
    void refuseStaleOrders();
    tracked_order *firstWaiting();
    tracked_order *orderInProgress();
    void scheduleRetry(tracked_order &entry, const order_answer &answer, time_point now);

    vm_id m_self;
    weight_store_limiter m_limiter; // counts the loads of all VMs, in log order
    order_mutation m_mutation;
    bool m_acceptsOrders = true;
    order_fold m_fold;
    bool m_caughtUp = false; // the log was read to its end at least once
    time_point m_readRequestedAt{}; // when the last read that reached the end was sent
    std::optional<time_point> m_stateRequestedAt; // of the last successful query of the upstream
    fence_number m_highestFence; // received by the upstream's current process, as far as is known
    std::vector<std::string> m_inForce; // order ids in the last report of the upstream
    time_point m_retryAt{}; // no action before this time, after a failure
    // Invariant: sorted by fencing number; at most one is InProgress; of each kind, only the newest
    // is Waiting.
    std::deque<tracked_order> m_orders;
};

} // namespace tamarack
