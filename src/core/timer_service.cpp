// Timers ordered by expiry, then by subscription.
#include <tamarackglade/core/timer_service.hpp>

namespace tamarack {

timer_service::timer_handle timer_service::subscribe(time_point when, callback action)
{
    const timer_handle handle = ++m_lastHandle;
    schedule(handle, when, subscription{std::move(action), duration::zero()});
    return handle;
}

timer_service::timer_handle timer_service::subscribeEvery(time_point first, duration period,
                                                          callback action)
{
    const timer_handle handle = ++m_lastHandle;
    schedule(handle, first, subscription{std::move(action), period});
    return handle;
}

void timer_service::cancel(timer_handle handle)
{
    const auto found = m_dueByHandle.find(handle);
    if (found == m_dueByHandle.end())
        return;
    m_due.erase(due_key(found->second, handle));
    m_dueByHandle.erase(found);
}

void timer_service::advance(time_point now)
{
    while (!m_due.empty() && m_due.begin()->first.first <= now) {
        auto node = m_due.extract(m_due.begin());
        const auto [when, handle] = node.key();
        m_dueByHandle.erase(handle);
        subscription entry = std::move(node.mapped());
        const callback action = entry.action;
        const duration period = entry.period;
        if (period > duration::zero())
            schedule(handle, when + period, std::move(entry));
        action(now);
    }
}

std::optional<time_point> timer_service::nextExpiry() const
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.begin()->first.first;
}

void timer_service::schedule(timer_handle handle, time_point when, subscription entry)
{
    m_due.emplace(due_key(when, handle), std::move(entry));
    m_dueByHandle.emplace(handle, when);
}

} // namespace tamarack
