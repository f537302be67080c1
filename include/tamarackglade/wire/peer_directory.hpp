// The connections of a process by the VM at their other end.
#pragma once

#include <tamarackglade/wire/wire_peer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarack {

/// @brief Finds a connection to a VM. Thread-safe.
class peer_directory
{
public:
    void add(const std::shared_ptr<wire_peer> &peer);
    void remove(const std::shared_ptr<wire_peer> &peer);

    /// @return the newest connection to a VM's newest incarnation, or null
    [[nodiscard]] std::shared_ptr<wire_peer> find(const vm_id &vm) const;
    /// @return one connection for each connected VM of a role
    [[nodiscard]] std::vector<std::shared_ptr<wire_peer>> withRole(schema::vm_role role) const;
    /// @brief Sends a frame to a VM; lost if there is no connection.
    void send(const vm_id &vm, const schema::frame_bodyUnion &body) const;

private:
    using peer_list = std::vector<std::shared_ptr<wire_peer>>;

    static std::shared_ptr<wire_peer> newest(const peer_list &peers);

    mutable std::mutex m_mutex; // guards m_peers
    std::map<vm_id, peer_list> m_peers; // no list is empty
};

} // namespace tamarack
