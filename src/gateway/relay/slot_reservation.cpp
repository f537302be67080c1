// Waits in the slot queue by a callback.
#include <tamarackglade/gateway/relay/slot_reservation.hpp>

#include <utility>

namespace tamarack {

slot_reservation::slot_reservation(blocking_slot_queue &queue, const slot_request &request)
    : m_queue(queue), m_group(request.placement.group)
{
    m_waiter = m_queue.request(request, [this](const slot_result &result) { onResult(result); });
}

slot_reservation::~slot_reservation()
{
    if (m_waiter)
        m_queue.cancel(*m_waiter);
    if (m_upstream)
        m_queue.release(*m_upstream, work_class::Online);
}

upstream_id slot_reservation::take()
{
    return *std::exchange(m_upstream, std::nullopt);
}

void slot_reservation::onResult(const slot_result &result)
{
    m_waiter.reset();
    if (result.outcome == slot_outcome::Granted)
        m_upstream = result.upstream;
}

} // namespace tamarack
