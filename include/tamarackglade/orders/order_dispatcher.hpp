// Gives orders to the upstream: fenced, one at a time, loads at their turn.
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

/// @brief The side's fence: some upstreams ignore fencing numbers, so old orders end here.
/// Nothing is kept over a restart: the dispatcher gives no order before it has read the log to its
/// end, and before the upstream has said which orders are in force. Both must be recent whenever an
/// order is given, so that a process that was paused looks again first.
///
/// The shell performs one action at a time and reports its end before it asks for the next one.
class order_dispatcher
{
public:
    /// @param self the VM whose orders are given; loads of all VMs take turns
    order_dispatcher(vm_id self, weight_store_limiter limiter,
                     order_mutation mutation = order_mutation::None);

    /// @brief Refuses all orders: the upstream takes none.
    void rejectAllOrders() { m_acceptsOrders = false; }
    /// @brief Changes the weight store's rate, for loads that are ordered from now on.
    void setLoadRate(duration interval, int burst);

    void onRead(const orders_read &read, time_point now);
    void onReadFailed(time_point now);
    void onUpstreamState(const upstream_state_report &report, time_point requestedAt,
                         time_point now);
    void onUpstreamStateFailed(const std::string &why, time_point now);
    void onAnswer(const order_answer &answer, time_point now);

    /// @return what to do now, if anything
    std::optional<order_action> next(time_point now);

    /// @return the latest orders to this upstream, in order of their fences
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
    weight_store_limiter m_limiter; // counts the loads of all VMs, in the log's order
    order_mutation m_mutation;
    bool m_acceptsOrders = true;
    order_fold m_fold;
    bool m_caughtUp = false; // the log was read to its end once
    time_point m_readRequestedAt{}; // when the last read to the end was sent
    std::optional<time_point>
        m_stateRequestedAt; // when the upstream was last asked, if it answered
    fence_number m_highestFence; // by the upstream's present process
    std::vector<std::string> m_inForce; // order ids, as the upstream last said
    time_point m_retryAt{}; // after a failure
    // Invariant: fences rise; at most one is InProgress; of each kind only the newest is Waiting.
    std::deque<tracked_order> m_orders;
};

} // namespace tamarack
