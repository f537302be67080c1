// Updates the active configuration; its version and time of confirmation never decrease.
#include <tamarackglade/forward/active_config.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

bool active_config::accept(std::shared_ptr<const forward_config> config)
{
    const bool newer = !m_config || m_config->version() < config->version();
    if (!m_config || m_config->version() <= config->version())
        m_newestIsUnreadable = false;
    if (newer)
        m_config = std::move(config);
    return newer;
}

void active_config::confirm(time_point sentAt)
{
    if (!m_config || m_newestIsUnreadable)
        return;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, sentAt) : sentAt;
}

bool active_config::freshWithin(duration bound, time_point now) const
{
    return m_confirmedAt && now - *m_confirmedAt < bound;
}

} // namespace tamarack
