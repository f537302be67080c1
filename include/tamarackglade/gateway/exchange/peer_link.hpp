// Datagrams between gateways: reports, and requests to yield slots.
#pragma once

#include <tamarackglade/gateway/exchange/member_registry.hpp>
#include <tamarackglade/gateway/exchange/zone_exchange.hpp>
#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/placement/yield_planner.hpp>
#include <tamarackglade/reports/report_schedule.hpp>
#include <tamarackglade/reports/zone_cells.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/schema/peer_generated.h>
#include <tamarackglade/store/record_store.hpp>

#include <absl/status/status.h>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief What the batch work of this gateway does for online requests of others.
class peer_waiting_listener
{
public:
    virtual ~peer_waiting_listener() = default;
    /// @brief Called when requests wait at another gateway.
    virtual void onPeerWaiting() = 0;
    /// @brief Called when another gateway needs a slot that a batch run of this one uses.
    /// @return whether a run yields its slot
    virtual bool onYieldAsked(const upstream_id &upstream) = 0;
};

/// @brief Sends reports to other gateways several times a second and applies theirs.
///
/// The gateways of a zone report to each other, since they share the zone's upstreams. A small
/// fleet also reports each to each over all zones. In a large one the zones report to each other by
/// zone_exchange, and the gateways of a zone report most often to those of their cell. An
/// overloaded fleet doesn't send more: changes wait for the next report.
class peer_link
{
public:
    peer_link(io_thread &thread, record_store &store, gateway_context &context, gateway_member self,
              peer_waiting_listener &batches);

    /// @brief Binds the datagram socket and starts its fibers.
    absl::Status start();
    /// @brief Sends what is due; call many times a second.
    void tick();
    /// @brief Sends a report to the gateways that asked for a slot, as a batch run has yielded one.
    void onBatchSlotFreed();
    /// @brief Sets whether the reports announce that this gateway runs batch items.
    void setServing(bool serving) { m_serving = serving; }
    /// @brief Stores that this gateway is leaving, and reports that it runs no more batch items.
    void leave();

    /// @return the reachable gateways that run batch items, including this one if it does; a few
    /// ticks old at most
    [[nodiscard]] const std::vector<vm_id> &servingGateways() const { return m_servingGateways; }
    /// @return whether the members have been read at least once
    [[nodiscard]] bool ready() const { return m_members.ready(); }

private:
    void receiveLoop();
    void onDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &from);
    void onReport(std::string_view bytes);
    bool onYieldRequest(std::string_view bytes);
    void send(const gateway_member &to, const std::string &bytes);
    void sendReports(const std::vector<gateway_member> &receivers, time_point now);
    void reportToZone(time_point now);
    void reportToOtherZones(time_point now);
    void askForSlots(time_point now);
    void listServingGateways(time_point now);
    void formCell(time_point now);
    schema::peer_report_message makeReport(time_point now);
    [[nodiscard]] std::vector<gateway_member> directPeersElsewhere() const;
    [[nodiscard]] std::unordered_map<upstream_id, slot_use>
    useOf(const schema::peer_report_message &report) const;
    [[nodiscard]] std::set<upstream_id> ejectedBy(const schema::peer_report_message &report) const;

    gateway_context &m_context;
    const gateway_member m_self;
    peer_waiting_listener &m_batches;
    member_registry m_members;
    boost::asio::ip::udp::socket m_socket;
    zone_exchange m_zones;
    yield_planner m_yields;
    std::vector<gateway_member> m_cellPeers; // that prefer the same upstreams
    std::vector<gateway_member> m_otherCellPeers; // of this zone
    report_schedule m_cellSchedule;
    report_schedule m_otherCellsSchedule;
    report_schedule m_otherZonesSchedule;
    std::unordered_map<std::string, boost::asio::ip::udp::endpoint> m_endpoints; // by address
    std::unordered_map<upstream_id, slot_use> m_reportedUse; // to the cell
    std::set<vm_id> m_askers; // gateways for which a batch run is yielding
    std::vector<vm_id> m_servingGateways;
    time_point m_listedAt{}; // of m_servingGateways and the cell
    bool m_hasNews = false; // of the quarantine, for the gateways of other zones
    bool m_serving = false;
};

} // namespace tamarack
