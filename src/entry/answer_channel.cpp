// Queue of answer events, guarded by a fiber mutex.
#include <tamarackglade/entry/answer_channel.hpp>

namespace tamarack {

namespace {

std::size_t dataBytes(const answer_event &event)
{
    const auto *data = std::get_if<answer_data>(&event);
    return data == nullptr ? 0 : data->bytes.size();
}

} // namespace

void answer_channel::push(answer_event event)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasOverflowed)
            return;
        if (hold(dataBytes(event)))
            m_events.push_back(std::move(event));
        else
            endForOverflow();
    }
    m_arrived.notify_one();
}

bool answer_channel::hold(std::size_t bytes)
{
    m_heldBytes += bytes;
    return m_budget->add(bytes) || m_heldBytes <= SmallBytes;
}

void answer_channel::endForOverflow()
{
    m_hasOverflowed = true;
    m_events.clear();
    m_budget->remove(m_heldBytes);
    m_heldBytes = 0;
    m_events.push_back(answer_end{call_error{502, "upstream_error", "answer_too_large",
                                             "the answer exceeds the memory for unread answers",
                                             execution::Unknown, std::nullopt}});
}

bool answer_channel::hasOverflowed()
{
    const std::lock_guard lock(m_mutex);
    return m_hasOverflowed;
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
    const std::size_t bytes = dataBytes(event);
    m_heldBytes -= bytes;
    m_budget->remove(bytes);
    return event;
}

} // namespace tamarack
