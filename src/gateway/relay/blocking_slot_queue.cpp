// Calls a handler with the result of each wait; fibers block on a promise that it sets.
#include <tamarackglade/gateway/relay/blocking_slot_queue.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <memory>
#include <utility>

namespace tamarack {

slot_result blocking_slot_queue::acquire(const slot_request &request,
                                         std::optional<waiter_id> &waiter)
{
    const time_point arrivedAt = bootNow();
    if (const auto upstream = m_queue.tryAcquire(request.placement, arrivedAt))
        return {slot_outcome::Granted, *upstream, duration::zero()};
    // A batch run releases its slot when its fiber runs next; the request waits until then.
    const bool yields = m_yieldBatch && m_yieldBatch(request.placement);
    waiter = yields ? m_queue.enqueueUnchecked(request) : m_queue.enqueue(request, arrivedAt);
    if (!waiter)
        return {slot_outcome::Refused, {}, duration::zero()};
    const auto promise = std::make_shared<boost::fibers::promise<slot_result>>();
    m_handlers.emplace(*waiter,
                       [promise](const slot_result &granted) { promise->set_value(granted); });
    slot_result result = promise->get_future().get();
    waiter.reset();
    result.waited = bootNow() - arrivedAt;
    return result;
}

std::optional<waiter_id> blocking_slot_queue::request(const slot_request &request,
                                                      result_handler onResult)
{
    if (const auto upstream = m_queue.tryAcquire(request.placement, bootNow())) {
        onResult({slot_outcome::Granted, *upstream, duration::zero()});
        return std::nullopt;
    }
    if (m_yieldBatch)
        m_yieldBatch(request.placement);
    const waiter_id waiter = m_queue.enqueueUnchecked(request);
    m_handlers.emplace(waiter, std::move(onResult));
    return waiter;
}

void blocking_slot_queue::cancel(waiter_id waiter)
{
    m_queue.remove(waiter);
    resolve(waiter, {slot_outcome::Cancelled, {}, {}});
}

void blocking_slot_queue::release(const upstream_id &upstream, work_class work)
{
    m_allocator.release(upstream, work);
    m_queue.onFinished(bootNow());
    processQueue();
}

void blocking_slot_queue::processQueue()
{
    if (m_queue.size() == 0)
        return;
    const time_point now = bootNow();
    for (const waiter_id expired : m_queue.expire(now))
        resolve(expired, {slot_outcome::Expired, {}, {}});
    for (const granted_slot &granted : m_queue.grant(now))
        resolve(granted.waiter, {slot_outcome::Granted, granted.upstream, {}});
}

duration blocking_slot_queue::expectedWait() const
{
    return m_queue.expectedWait(bootNow());
}

void blocking_slot_queue::resolve(waiter_id waiter, const slot_result &result)
{
    const auto found = m_handlers.find(waiter);
    if (found == m_handlers.end())
        return;
    const result_handler onResult = std::move(found->second);
    m_handlers.erase(found);
    onResult(result);
}

} // namespace tamarack
