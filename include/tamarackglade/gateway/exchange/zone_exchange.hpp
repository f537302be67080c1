// Reports between the zones of a large fleet.
#pragma once

#include <tamarackglade/gateway/process/gateway_context.hpp>
#include <tamarackglade/reports/report_schedule.hpp>
#include <tamarackglade/reports/zone_counts.hpp>
#include <tamarackglade/reports/zone_relays.hpp>
#include <tamarackglade/schema/peer_generated.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Sums up the reports of this zone's gateways for the other zones, and applies the reports
/// of those.
///
/// Two gateways of a zone, chosen without an election, report to one each of every other zone. The
/// gateway that receives a report passes it on to all of its zone. All calls on the gateway's
/// thread.
class zone_exchange
{
public:
    /// A datagram to send.
    struct outgoing_report
    {
        gateway_member to;
        std::string bytes;
    };

    zone_exchange(gateway_context &context, gateway_member self);

    /// @brief Records the report of a gateway of this zone, or this gateway's own.
    void onPeerReport(schema::peer_report_message report, time_point now);

    /// @brief Encodes the reports to other zones, if they are due and this gateway is one of those
    /// that send them.
    std::vector<outgoing_report> dueReports(time_point now);

    /// @brief Applies a report of another zone.
    /// @param passOn set to the datagram for the gateways of this zone, if it came from another
    /// zone
    /// @return false if the datagram is no such report
    bool onDatagram(std::string_view bytes, std::string &passOn, time_point now);

    /// @brief Removes gateways and zones without recent reports; call several times a second.
    void tick(time_point now);

private:
    struct zone_peer
    {
        incarnation_number incarnation;
        time_point receivedAt{};
        std::uint32_t successes = 0;
        bool serving = false;
        std::vector<schema::upstream_use> use;
        std::vector<std::uint64_t> ejected;
        // What is passed on whole; reset once it is.
        std::optional<schema::peer_report_message> details;
    };
    struct remote_sender
    {
        incarnation_number incarnation;
        std::uint64_t number = 0; // of its newest report
        zone_id zone;
        std::optional<time_point> receivedAt; // of the last report that came directly
    };

    /// @return this gateway's rank among those that report to other zones; nullopt if it is none
    [[nodiscard]] std::optional<std::size_t> ownRank(time_point now) const;
    [[nodiscard]] std::vector<std::string> encodeReports(time_point now);
    [[nodiscard]] schema::zone_report_message summary(time_point now);
    void addMembers(schema::zone_report_message &report, time_point now);
    void addUse(schema::zone_report_message &report) const;
    void addReceivedFrom(schema::zone_report_message &report, time_point now) const;
    void addDetails(std::vector<schema::zone_report_message> &reports, time_point now);
    [[nodiscard]] schema::zone_report_message newReport();
    [[nodiscard]] bool receivesFrom(const zone_id &zone, time_point now) const;
    /// @return false if the report, or a newer one of its sender, was applied before
    bool recordSender(const schema::zone_report_message &report, time_point now);
    void apply(const schema::zone_report_message &report, time_point now);
    void applyMembers(const schema::zone_report_message &report, time_point now);
    void applyUse(const schema::zone_report_message &report, time_point now);
    void logContact(const zone_id &zone, std::size_t gateways, time_point now);

    gateway_context &m_context;
    const gateway_member m_self;
    report_schedule m_schedule;
    zone_counts m_counts;
    std::map<vm_id, zone_peer> m_peers; // of this zone, with this gateway
    std::unordered_map<vm_id, remote_sender> m_senders; // of other zones
    report_schedule m_detailsSchedule;
    std::map<zone_id, time_point> m_contactAt; // last report of a zone that receives ours
    std::uint64_t m_number = 0; // of the last report
    std::size_t m_attempts = 0; // reports to each zone so far
};

} // namespace tamarack
