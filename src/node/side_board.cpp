// Reports by connection.
#include <tamarackglade/node/side_board.hpp>

namespace tamarack {

void side_board::onReport(const wire_peer &peer, const schema::load_report_message &report)
{
    const std::lock_guard lock(m_mutex);
    m_sides[peer.connectionId()] = side_status{peer.identity().vm, report};
}

void side_board::onClosed(const wire_peer &peer)
{
    const std::lock_guard lock(m_mutex);
    m_sides.erase(peer.connectionId());
}

std::vector<side_status> side_board::sides() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<side_status> found;
    for (const auto &[connection, side] : m_sides)
        found.push_back(side);
    return found;
}

} // namespace tamarack
