// Stores the configuration as a shared pointer that a mutex guards.
#include <tamarackglade/node/config_store.hpp>

namespace tamarack {

std::shared_ptr<const config_state> config_store::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

void config_store::replace(std::shared_ptr<const config_state> next)
{
    const std::lock_guard lock(m_mutex);
    if (m_current && next->offset < m_current->offset)
        return;
    m_current = std::move(next);
    ++m_version;
}

} // namespace tamarack
