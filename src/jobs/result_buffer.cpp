// Group commit of item results.
#include <tamarackglade/jobs/result_buffer.hpp>

#include <algorithm>

namespace tamarack {

result_buffer::result_buffer(limits bounds) : m_limits(bounds) { }

std::size_t result_buffer::bytesOf(const schema::item_result_message &result)
{
    return result.data.size() + result.custom_id.size() + result.job_id.size();
}

void result_buffer::add(schema::item_result_message result, time_point now)
{
    m_bytes += bytesOf(result);
    m_results.push_back({std::move(result), now});
}

void result_buffer::dropJob(const job_id &job)
{
    std::erase_if(m_results, [&](const entry &held) {
        if (held.result.job_id != job.value())
            return false;
        m_bytes -= bytesOf(held.result);
        return true;
    });
}

bool result_buffer::isDue(time_point now) const
{
    if (m_results.empty())
        return false;
    return m_bytes >= m_limits.maxBytes || m_results.size() >= m_limits.maxItems
           || now >= m_results.front().addedAt + m_limits.maxDelay;
}

std::optional<time_point> result_buffer::nextDeadline() const
{
    if (m_results.empty())
        return std::nullopt;
    return m_results.front().addedAt + m_limits.maxDelay;
}

std::vector<schema::item_result_message> result_buffer::take()
{
    std::vector<schema::item_result_message> taken;
    std::size_t bytes = 0;
    for (auto &held : m_results) {
        const auto size = bytesOf(held.result);
        const bool isFull = bytes + size > m_limits.maxBytes || taken.size() >= m_limits.maxItems;
        if (isFull && !taken.empty())
            break;
        bytes += size;
        taken.push_back(std::move(held.result));
    }
    m_results.erase(m_results.begin(),
                    m_results.begin() + static_cast<std::ptrdiff_t>(taken.size()));
    m_bytes -= bytes;
    return taken;
}

} // namespace tamarack
