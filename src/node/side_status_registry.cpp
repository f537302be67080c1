// Stores load reports by connection id.
#include <tamarackglade/node/side_status_registry.hpp>

namespace tamarack {

void side_status_registry::onReport(const wire_peer &peer,
                                    const schema::load_report_message &report)
{
    const std::lock_guard lock(m_mutex);
    m_sides[peer.connectionId()] = side_status{peer.identity().vm, report};
}

void side_status_registry::onClosed(const wire_peer &peer)
{
    const std::lock_guard lock(m_mutex);
    m_sides.erase(peer.connectionId());
}

std::vector<side_status> side_status_registry::sides() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<side_status> found;
    for (const auto &[connection, side] : m_sides)
        found.push_back(side);
    return found;
}

} // namespace tamarack
