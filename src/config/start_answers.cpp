// Answers of peers to a starting process.
#include <tamarackglade/config/start_answers.hpp>

#include <algorithm>

namespace tamarack {

void start_answers::add(const vm_id &peer, time_point requestedAt, log_offset offset, bool serving)
{
    answer &entry = m_answers[peer];
    if (requestedAt >= entry.requestedAt)
        entry = {requestedAt, offset, serving};
}

std::size_t start_answers::serving(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(), [&](const auto &item) {
            return counts(item.second, now) && item.second.serving;
        }));
}

std::size_t start_answers::all(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(),
                      [&](const auto &item) { return counts(item.second, now); }));
}

log_offset start_answers::highest(time_point now) const
{
    log_offset highest;
    for (const auto &[peer, entry] : m_answers) {
        if (counts(entry, now))
            highest = std::max(highest, entry.offset);
    }
    return highest;
}

bool start_answers::counts(const answer &entry, time_point now) const
{
    return now - entry.requestedAt <= m_lifetime;
}

} // namespace tamarack
