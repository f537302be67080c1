// Two generations of entries, the older of which is dropped as a whole.
#include <tamarackglade/quarantine/success_history.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

void success_history::add(part_hash part, time_point at)
{
    const time_point newest = std::max(at, find(part).value_or(at));
    if (m_current.size() >= m_maxParts && !m_current.contains(part))
        m_previous = std::exchange(m_current, {});
    m_current[part] = newest;
}

std::optional<time_point> success_history::find(part_hash part) const
{
    for (const generation *each : {&m_current, &m_previous}) {
        const auto found = each->find(part);
        if (found != each->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace tamarack
