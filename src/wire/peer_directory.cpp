// Connections in the order in which they came.
#include <tamarackglade/wire/peer_directory.hpp>

namespace tamarack {

void peer_directory::add(const std::shared_ptr<wire_peer> &peer)
{
    const std::lock_guard lock(m_mutex);
    m_peers[peer->identity().vm].push_back(peer);
}

void peer_directory::remove(const std::shared_ptr<wire_peer> &peer)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(peer->identity().vm);
    if (found == m_peers.end())
        return;
    std::erase(found->second, peer);
    if (found->second.empty())
        m_peers.erase(found);
}

std::shared_ptr<wire_peer> peer_directory::find(const vm_id &vm) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? nullptr : newest(found->second);
}

std::vector<std::shared_ptr<wire_peer>> peer_directory::withRole(schema::vm_role role) const
{
    const std::lock_guard lock(m_mutex);
    peer_list found;
    for (const auto &[vm, peers] : m_peers) {
        const auto peer = newest(peers);
        if (peer->identity().role == role)
            found.push_back(peer);
    }
    return found;
}

void peer_directory::send(const vm_id &vm, const schema::frame_bodyUnion &body) const
{
    if (const auto peer = find(vm))
        peer->send(body);
}

std::shared_ptr<wire_peer> peer_directory::newest(const peer_list &peers)
{
    std::shared_ptr<wire_peer> best = peers.front();
    for (const auto &peer : peers) {
        if (peer->identity().incarnation >= best->identity().incarnation)
            best = peer;
    }
    return best;
}

} // namespace tamarack
