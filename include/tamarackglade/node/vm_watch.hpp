// Maintains an entry's view of the fleet's VMs and its wire links to other processes.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/membership/membership_view.hpp>
#include <tamarackglade/membership/subset_options.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/wire/peer_directory.hpp>
#include <tamarackglade/wire/wire_link.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Polls the platform's VM list and merges it with the direct messages of processes.
/// The view is thread-safe; links are used on the thread only. All references must outlive the
/// object.
class vm_watch
{
public:
    /// Called with each new list; requestedAt is when it was requested from the platform.
    using list_listener = std::function<void(const vm_list &, time_point requestedAt)>;

    vm_watch(io_thread &thread, platform_client &platform, peer_directory &peers,
             const wire_settings &settings, region_id region, wire_handler &handler,
             list_listener listener);

    /// @brief Starts polling.
    void start();

    /// @brief Records the hello of a process on a direct connection.
    /// @return whether the peer is its VM's newest process
    bool onHello(const peer_identity &peer);
    /// @brief Records a process's own announcement that it is leaving.
    void onLeaving(const peer_identity &peer);
    /// @brief Processes a frame of the protocol by which entries send each other the VM list. On
    /// the thread only.
    /// @return false if the frame belongs to another protocol
    bool onFrame(const vm_id &from, const schema::frame_message &frame);
    /// @brief Marks the drained VMs of a new configuration as leaving.
    void onConfig(const config_state &state);

    /// @return listed entries that accept work, with their newest known incarnations
    [[nodiscard]] std::vector<listed_vm> entries();
    /// @return listed sides that accept work
    [[nodiscard]] std::vector<listed_vm> workingSides();
    /// @return whether a VM is leaving
    [[nodiscard]] bool isLeaving(const vm_id &vm);
    /// @return the names of all listed entries and sides, including leaving ones
    [[nodiscard]] std::vector<vm_id> processes();

private:
    void pollLoop();
    void requestListFromPeer();
    void sendAnswer(const vm_id &from, const schema::vm_list_request_message &request);
    void onAnswer(const schema::vm_list_answer_message &answer);
    absl::Status applyText(const std::string &text, time_point requestedAt);
    void apply(const vm_list &list);
    std::vector<listed_vm> selectLinkTargets(const vm_list &list);

    io_thread &m_thread;
    platform_client &m_platform;
    peer_directory &m_peers;
    const wire_settings &m_settings;
    region_id m_region;
    wire_handler &m_handler;
    list_listener m_listener;
    std::map<std::string, std::unique_ptr<wire_link>> m_links; // by address
    std::string m_listText; // newest list, from the platform or a peer; empty before the first
    time_point m_listRequestedAt{}; // when m_listText was requested from the platform
    std::uint64_t m_lastRequestSequence = 0; // of requests to peers
    time_point m_peerRequestedAt{};
    std::mt19937_64 m_random{std::random_device{}()};
    std::mutex m_mutex; // guards m_view
    membership_view m_view;
};

} // namespace tamarack
