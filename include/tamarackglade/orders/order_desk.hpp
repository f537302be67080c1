// Gives orders to the upstream: fenced, one at a time, loads spaced out.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/orders/order_action.hpp>
#include <tamarackglade/orders/order_mutation.hpp>
#include <tamarackglade/orders/weight_store_limiter.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace tamarack {

/// @brief The side's fence: some upstreams ignore fencing numbers, so old orders end here.
/// A fencing number is the log offset of the order's record, written before the order is sent. A
/// restarted side keeps nothing: it refuses all orders until it has read the log and knows the
/// highest number recorded for its upstream.
class order_desk
{
public:
    /// @param maxQueued orders that wait; more are refused
    order_desk(weight_store_limiter limiter, std::size_t maxQueued,
               order_mutation mutation = order_mutation::None);

    /// @brief Learns the highest fencing number recorded in the log for this upstream.
    order_actions onFenceLearned(fence_number fence, instant now);

    order_actions onOrder(const schema::upstream_order_message &order, connection_id from,
                          instant now);

    /// @brief Learns that the upstream carried out the order under way, or refused it.
    order_actions onDone(const std::string &orderId, bool accepted, const std::string &message,
                         instant now);

    /// @brief Begins an order that waited for the weight store.
    order_actions tick(instant now);

    [[nodiscard]] std::optional<instant> nextDeadline(instant now) const;

    /// @return the highest fencing number known, if the log was read
    [[nodiscard]] std::optional<fence_number> fence() const { return m_fence; }

private:
    struct waiting_order
    {
        schema::upstream_order_message order;
        connection_id from;
    };
    using done_order = std::pair<std::string, schema::order_answer_message>;

    [[nodiscard]] bool isOld(const schema::upstream_order_message &order) const;
    [[nodiscard]] bool isHeld(const std::string &orderId) const;
    void raiseFence(fence_number fence);
    void beginNext(instant now);
    void answer(connection_id to, const std::string &orderId, bool accepted,
                const std::string &message);
    order_actions takeActions();

    weight_store_limiter m_limiter;
    std::size_t m_maxQueued;
    order_mutation m_mutation;
    std::optional<fence_number> m_fence; // never goes back
    // Invariant: no order in it has a number below m_fence.
    std::deque<waiting_order> m_waiting;
    std::optional<waiting_order> m_underWay;
    std::deque<done_order> m_done; // the latest answers, for repeated orders
    order_actions m_actions; // of the event in progress
};

} // namespace tamarack
