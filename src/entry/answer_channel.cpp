// Queue of answer events, guarded by a fiber mutex.
#include <tamarackglade/entry/answer_channel.hpp>

namespace tamarack {

void answer_channel::push(answer_event event)
{
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
    }
    m_arrived.notify_one();
}

std::optional<answer_event> answer_channel::pop(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_arrived.wait_for(lock, timeout, [this] { return !m_events.empty(); });
    return takeFront();
}

std::optional<answer_event> answer_channel::tryPop()
{
    const std::lock_guard lock(m_mutex);
    return takeFront();
}

std::optional<answer_event> answer_channel::takeFront()
{
    if (m_events.empty())
        return std::nullopt;
    answer_event event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

} // namespace tamarack
