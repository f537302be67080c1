// Queue of poison suspects.
#include <tamarackglade/jobs/suspect_queue.hpp>

#include <algorithm>

namespace tamarack {

void suspect_queue::add(suspect entry)
{
    m_suspects.push_back(std::move(entry));
}

void suspect_queue::dropJob(const job_id &job)
{
    std::erase_if(m_suspects, [&](const suspect &entry) { return entry.item.job == job; });
}

std::optional<suspect_queue::suspect>
suspect_queue::take(time_point now, const std::function<bool(const suspect &)> &canRun)
{
    const auto found =
        std::find_if(m_suspects.begin(), m_suspects.end(),
                     [&](const suspect &entry) { return entry.readyAt <= now && canRun(entry); });
    if (found == m_suspects.end())
        return std::nullopt;
    auto result = std::move(*found);
    m_suspects.erase(found);
    return result;
}

std::optional<time_point> suspect_queue::nextReady() const
{
    const auto first =
        std::min_element(m_suspects.begin(), m_suspects.end(),
                         [](const suspect &a, const suspect &b) { return a.readyAt < b.readyAt; });
    if (first == m_suspects.end())
        return std::nullopt;
    return first->readyAt;
}

} // namespace tamarack
