// Index of running attempts.
#include <tamarackglade/jobs/attempt_table.hpp>

namespace tamarack {

void attempt_table::add(const attempt_id &id, running_attempt attempt)
{
    ++m_perUpstream[attempt.upstream];
    m_byStart.emplace_back(attempt.startedAt, id);
    m_running.emplace(id, std::move(attempt));
}

std::optional<running_attempt> attempt_table::remove(const attempt_id &id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return std::nullopt;
    auto attempt = std::move(found->second);
    m_running.erase(found);
    const auto count = m_perUpstream.find(attempt.upstream);
    if (--count->second == 0)
        m_perUpstream.erase(count);
    return attempt;
}

std::vector<attempt_id> attempt_table::ofJob(const job_id &job) const
{
    std::vector<attempt_id> result;
    for (const auto &[id, attempt] : m_running) {
        if (attempt.item.job == job)
            result.push_back(id);
    }
    return result;
}

std::vector<attempt_id> attempt_table::all() const
{
    std::vector<attempt_id> result;
    for (const auto &[id, attempt] : m_running)
        result.push_back(id);
    return result;
}

void attempt_table::dropEndedHead()
{
    while (!m_byStart.empty() && !m_running.contains(m_byStart.front().second))
        m_byStart.pop_front();
}

std::vector<attempt_id> attempt_table::startedBy(time_point limit)
{
    std::vector<attempt_id> result;
    dropEndedHead();
    for (const auto &[startedAt, id] : m_byStart) {
        if (startedAt > limit)
            break;
        if (m_running.contains(id))
            result.push_back(id);
    }
    return result;
}

std::optional<time_point> attempt_table::oldestStart()
{
    dropEndedHead();
    if (m_byStart.empty())
        return std::nullopt;
    return m_byStart.front().first;
}

std::size_t attempt_table::countOn(const upstream_id &upstream) const
{
    const auto found = m_perUpstream.find(upstream);
    return found == m_perUpstream.end() ? 0 : found->second;
}

} // namespace tamarack
