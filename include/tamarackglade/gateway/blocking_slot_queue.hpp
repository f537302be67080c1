// Fibers that wait for a slot at an upstream.
#pragma once

#include <tamarackglade/placement/slot_queue.hpp>

#include <boost/fiber/future.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace tamarack {

enum class slot_outcome {
    Granted, // the slot is taken for the caller, who has to release it
    Refused, // no slot can be expected in time
    Expired, // none came in time
    Cancelled // the caller has gone
};

/// @brief The answer to a request for a slot. upstream is valid if granted.
struct slot_result
{
    slot_outcome outcome = slot_outcome::Refused;
    upstream_id upstream;
    duration waited{};
};

/// @brief Suspends fibers until the slot queue grants them a slot. All calls on the gateway's
/// thread.
class blocking_slot_queue
{
public:
    /// Lets one batch run of this process give up its slot; returns false if there is none.
    using batch_yield = std::function<bool()>;

    blocking_slot_queue(slot_allocator &allocator, slot_queue &queue)
        : m_allocator(allocator), m_queue(queue)
    {
    }

    void setBatchYield(batch_yield yield) { m_yieldBatch = std::move(yield); }

    /// @brief Waits for a slot.
    /// @param waiter receives the name to cancel the wait with, while it lasts
    slot_result acquire(const slot_request &request, std::optional<waiter_id> &waiter);
    /// @brief Ends a wait whose caller has gone.
    void cancel(waiter_id waiter);

    /// @brief Gives a slot back and grants it to whose turn it is.
    void release(const upstream_id &upstream, work_class work);
    /// @brief Grants free slots and ends waits that are too long; call every few milliseconds.
    void processQueue();

    [[nodiscard]] std::size_t waiting() const { return m_queue.size(); }
    [[nodiscard]] duration expectedWait() const;

private:
    using result_promise = boost::fibers::promise<slot_result>;

    void resolve(waiter_id waiter, const slot_result &result);

    slot_allocator &m_allocator;
    slot_queue &m_queue;
    batch_yield m_yieldBatch;
    // Invariant: one entry for each request in m_queue.
    std::unordered_map<waiter_id, std::shared_ptr<result_promise>> m_promises;
};

} // namespace tamarack
