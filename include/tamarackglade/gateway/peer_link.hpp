// Datagrams between gateways: reachability, slots in use, admitted requests.
#pragma once

#include <tamarackglade/gateway/gateway_context.hpp>
#include <tamarackglade/gateway/member_registry.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/schema/peer_generated.h>
#include <tamarackglade/store/record_store.hpp>

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <set>
#include <unordered_map>

namespace tamarack {

/// @brief Reports to the other gateways several times a second, and takes their reports.
class peer_link
{
public:
    /// Told of a peer's waiting requests.
    using waiting_listener = std::function<void(std::size_t waiting, std::size_t gateways)>;

    peer_link(io_thread &thread, record_store &store, gateway_context &context, gateway_member self,
              waiting_listener onWaiting);

    /// @brief Binds the datagram socket and starts its fibers.
    absl::Status start();
    /// @brief Sends the reports that are due; call often. Waiting requests and slots that batch
    /// work gave up are reported at once, changed use at once to gateways of the same zone.
    void tick();
    /// @brief Tells that a batch item gave up its slot to online work.
    void onBatchSlotFreed();
    /// @brief Says in the reports whether this gateway runs batch items.
    void setServing(bool serving) { m_serving = serving; }
    /// @brief Tells the others that this process ends.
    void leave();

    /// @return the reachable gateways that run batch items, and this one if it does
    [[nodiscard]] std::vector<vm_id> servingGateways() const;
    /// @return whether the members were read once
    [[nodiscard]] bool ready() const { return m_members.ready(); }

private:
    /// A count as it was sent last.
    struct sent_count
    {
        std::uint64_t admitted = 0;
        time_point changedAt{};
    };

    void receiveLoop();
    void onDatagram(std::string_view bytes);
    void sendReports(time_point now, bool allZones);
    std::string encodeReport(time_point now);
    void addCounts(schema::peer_report_message &report, time_point now);
    [[nodiscard]] std::vector<admitted_count>
    countsOf(const schema::peer_report_message &report) const;
    [[nodiscard]] std::unordered_map<upstream_id, slot_use>
    useOf(const schema::peer_report_message &report) const;
    [[nodiscard]] std::set<upstream_id> ejectedBy(const schema::peer_report_message &report) const;

    gateway_context &m_context;
    const gateway_member m_self;
    const waiting_listener m_onWaiting;
    member_registry m_members;
    boost::asio::ip::udp::socket m_socket;
    std::set<vm_id> m_servingPeers;
    time_point m_reportedAt{};
    std::size_t m_reportedWaiting = 0;
    std::unordered_map<upstream_id, slot_use> m_reportedUse;
    bool m_slotFreed = false;
    std::unordered_map<customer_id, sent_count> m_sentCounts;
    std::uint64_t m_round = 0; // of reports
    bool m_serving = false;
};

} // namespace tamarack
