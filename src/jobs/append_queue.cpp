// Append queue of a partition owner.
#include <tamarackglade/jobs/append_queue.hpp>

namespace tamarack {

append_queue::append_queue(duration retryDelay, duration timeout)
    : m_retryDelay(retryDelay), m_timeout(timeout)
{
}

void append_queue::push(schema::log_batch_message batch)
{
    m_batches.push_back(std::move(batch));
}

std::optional<schema::log_batch_message> append_queue::next(time_point now)
{
    if (m_batches.empty() || (m_retryAt && now < *m_retryAt))
        return std::nullopt;
    m_retryAt = now + m_timeout;
    return m_batches.front();
}

void append_queue::onResult(const std::string &recordId, append_outcome outcome, time_point now)
{
    const bool isHead = !m_batches.empty() && m_batches.front().record_id == recordId;
    if (isHead && outcome != append_outcome::Ok)
        m_retryAt = now + m_retryDelay;
}

bool append_queue::onFolded(const std::string &recordId)
{
    if (m_batches.empty() || m_batches.front().record_id != recordId)
        return false;
    m_batches.pop_front();
    m_retryAt.reset();
    return true;
}

std::optional<time_point> append_queue::nextDeadline() const
{
    if (m_batches.empty())
        return std::nullopt;
    return m_retryAt;
}

} // namespace tamarack
