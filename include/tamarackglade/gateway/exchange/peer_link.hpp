// Datagram reports between gateways: reachability, slots in use, admitted requests.
#pragma once

#include <tamarackglade/gateway/exchange/member_registry.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/schema/peer_generated.h>
#include <tamarackglade/store/record_store.hpp>

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace tamarack {

/// @brief Sends reports to the other gateways several times a second and applies theirs.
class peer_link
{
public:
    /// Called when a peer reports waiting requests, with the number of gateways that run batch
    /// items. version is that of streams that go on, nullopt for requests that need no certain one.
    using waiting_listener = std::function<void(
        std::size_t waiting, const std::optional<software_version> &version, std::size_t gateways)>;

    peer_link(io_thread &thread, record_store &store, gateway_context &context, gateway_member self,
              waiting_listener onWaiting);

    /// @brief Binds the datagram socket and starts its fibers.
    absl::Status start();
    /// @brief Sends the reports that are due; call many times a second. New waiting requests and
    /// slots yielded by batch items are reported to all gateways on the next call, changes of the
    /// quarantine after the shortest report interval, changes of slots in use only to gateways of
    /// the same zone.
    void tick();
    /// @brief Schedules a report after a batch item has yielded its slot to online requests.
    void onBatchSlotFreed();
    /// @brief Sets whether the reports announce that this gateway runs batch items.
    void setServing(bool serving) { m_serving = serving; }
    /// @brief Stores that this gateway is leaving, and reports that it runs no more batch items.
    void leave();

    /// @return the reachable gateways that run batch items, including this one if it does
    [[nodiscard]] std::vector<vm_id> servingGateways() const;
    /// @return whether the members have been read at least once
    [[nodiscard]] bool ready() const { return m_members.ready(); }

private:
    void receiveLoop();
    void onDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &from);
    void onReport(std::string_view bytes);
    void onWaiting(const schema::peer_report_message &report);
    void send(const gateway_member &to, const std::string &bytes);
    void sendReports(time_point now, bool allZones);
    std::string encodeReport(time_point now);
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
    bool m_serving = false;
};

} // namespace tamarack
