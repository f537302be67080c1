// Runs the fleet-wide rate limits in an entry: connects the limiter with waiting requests, peers
// and the log's stream "homes".
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/limits/fleet_limiter.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/platform/log_tailer.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/wire/peer_directory.hpp>

#include <boost/fiber/future.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarack {

/// @brief Whether a request may run now.
struct limit_verdict
{
    bool admitted = false;
    std::chrono::milliseconds retryAfter{0}; // set if refused
};

/// @brief Admits requests by their customers' rates. Thread-safe after the first configuration. All
/// references must outlive the thread.
class limit_service
{
public:
    limit_service(io_thread &thread, platform_client &platform, peer_directory &peers,
                  metric_registry &metrics, const peer_identity &self,
                  limit_mutation mutation = limit_mutation::None);

    /// @brief Applies a new configuration; the first one starts the service.
    void onConfig(const config_state &state);
    /// @brief Replaces the entries by those in the platform's VM list.
    /// @param readAt when it was read
    void onVmList(const vm_list &list, time_point readAt);
    /// @brief Handles entries that connected, disconnected or stopped accepting work.
    /// @param takingWork names of the connected entries that accept work
    void onPeersChanged(const std::vector<vm_id> &takingWork);
    /// @return whether the frame belonged to the limits' protocol
    bool onFrame(const vm_id &from, const schema::frame_message &frame);

    /// @brief Requests one token of the customer's bucket; the calling fiber waits for the
    /// decision.
    limit_verdict admit(const customer_id &customer);

    /// @brief Starts to hand this entry's homes over to other entries, for a planned stop.
    void handOver();
    /// @return whether no home has to be handed over before the process ends
    bool isReleased();

private:
    using verdict_promise = boost::fibers::promise<limit_verdict>;

    void begin(std::uint32_t partitions);
    void updateEntries();
    void applyRates(const config_state &state);
    void onHomesRead(const log_read &read);
    void tickLoop();
    void perform(const std::vector<limit_action> &actions);
    void settle(std::uint64_t ticket, const limit_verdict &verdict);
    void sendMessage(const send_limit_message &message);
    void appendClaim(const schema::home_claimed_message &claim);

    io_thread &m_thread;
    platform_client &m_platform;
    peer_directory &m_peers;
    metric_registry &m_metrics;
    const peer_identity m_self;
    const limit_mutation m_mutation;
    std::unique_ptr<log_tailer> m_tailer;

    std::mutex m_mutex; // guards the members below
    std::unique_ptr<fleet_limiter> m_limiter; // null until the first configuration
    std::map<customer_id, customer_rate> m_rates; // as set in the limiter
    std::vector<live_entry> m_entries; // the latest VM list, as read
    time_point m_entriesReadAt{};
    std::vector<vm_id> m_takingWork; // of the connected entries
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, verdict_promise> m_waiting; // by ticket
};

} // namespace tamarack
