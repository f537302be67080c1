// Queue in which requests wait until they get a slot at an upstream.
#pragma once

#include <tamarackglade/placement/slot_queue.hpp>

#include <boost/fiber/future.hpp>

#include <functional>
#include <unordered_map>

namespace tamarack {

enum class slot_outcome {
    Granted, // the slot is taken; the caller must release it
    Refused, // no slot is expected in time
    Expired, // no slot became free in time
    Cancelled // the wait was cancelled
};

/// @brief Result of a request for a slot. upstream is valid if outcome is Granted.
struct slot_result
{
    slot_outcome outcome = slot_outcome::Refused;
    upstream_id upstream;
    duration waited{};
};

/// @brief Suspends fibers, or calls handlers, when the slot queue grants them a slot. All calls on
/// the gateway's thread.
class blocking_slot_queue
{
public:
    /// Makes one batch run of this process yield a slot that the request can use; returns false if
    /// there is none.
    using batch_yield = std::function<bool(const placement_request &)>;

    using result_handler = std::function<void(const slot_result &)>;

    blocking_slot_queue(slot_allocator &allocator, slot_queue &queue)
        : m_allocator(allocator), m_queue(queue)
    {
    }

    void setBatchYield(batch_yield yield) { m_yieldBatch = std::move(yield); }

    /// @brief Waits for a slot.
    /// @param waiter set to the id for cancel() while the request waits; reset afterwards
    slot_result acquire(const slot_request &request, std::optional<waiter_id> &waiter);
    /// @brief Asks for a slot without blocking. The request waits until its latestStart, however
    /// long the queue is.
    /// @param onResult called once: before the return if a slot is free, else when the wait ends
    /// @return the id for cancel() if the request waits
    std::optional<waiter_id> request(const slot_request &request, result_handler onResult);
    /// @brief Ends a wait with the result Cancelled.
    void cancel(waiter_id waiter);

    /// @brief Releases a slot and grants it to the next request in the queue.
    void release(const upstream_id &upstream, work_class work);
    /// @brief Grants free slots and ends expired waits; call every few milliseconds.
    void processQueue();

    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    /// @return the waiting requests by the upstreams that they wait for
    [[nodiscard]] std::vector<waiting_work> waitingWork() const { return m_queue.waitingWork(); }
    [[nodiscard]] duration expectedWait() const;

private:
    void resolve(waiter_id waiter, const slot_result &result);

    slot_allocator &m_allocator;
    slot_queue &m_queue;
    batch_yield m_yieldBatch;
    // Invariant: one entry for each request in m_queue.
    std::unordered_map<waiter_id, result_handler> m_handlers;
};

} // namespace tamarack
