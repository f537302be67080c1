// Promises for the queue's decisions.
#include <tamarackglade/gateway/blocking_slot_queue.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

namespace tamarack {

slot_answer blocking_slot_queue::acquire(const slot_request &request,
                                         std::optional<waiter_id> &waiter)
{
    const time_point arrived = bootNow();
    if (const auto upstream = m_queue.tryAcquire(request.placement, arrived))
        return {slot_outcome::Granted, *upstream, duration::zero()};
    // A batch run gives its slot up when its fiber runs next; the request waits until then.
    const bool yields = m_yieldBatch && m_yieldBatch();
    waiter = yields ? m_queue.enqueueUnchecked(request) : m_queue.enqueue(request, arrived);
    if (!waiter)
        return {slot_outcome::Refused, {}, duration::zero()};
    auto promise = std::make_shared<answer_promise>();
    m_promises.emplace(*waiter, promise);
    slot_answer answer = promise->get_future().get();
    waiter.reset();
    answer.waited = bootNow() - arrived;
    return answer;
}

void blocking_slot_queue::cancel(waiter_id waiter)
{
    m_queue.remove(waiter);
    finish(waiter, {slot_outcome::Cancelled, {}, {}});
}

void blocking_slot_queue::release(const upstream_id &upstream, work_class work)
{
    m_allocator.release(upstream, work);
    m_queue.onFinished(bootNow());
    pump();
}

void blocking_slot_queue::pump()
{
    if (m_queue.size() == 0)
        return;
    const time_point now = bootNow();
    for (const waiter_id late : m_queue.expire(now))
        finish(late, {slot_outcome::Expired, {}, {}});
    for (const granted_slot &granted : m_queue.grant(now))
        finish(granted.waiter, {slot_outcome::Granted, granted.upstream, {}});
}

duration blocking_slot_queue::expectedWait() const
{
    return m_queue.expectedWait(bootNow());
}

void blocking_slot_queue::finish(waiter_id waiter, const slot_answer &answer)
{
    const auto found = m_promises.find(waiter);
    if (found == m_promises.end())
        return;
    const auto promise = found->second;
    m_promises.erase(found);
    promise->set_value(answer);
}

} // namespace tamarack
