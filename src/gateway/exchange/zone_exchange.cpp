// Encodes times as ages, since the clocks of gateways differ.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/gateway/exchange/message_age.hpp>
#include <tamarackglade/gateway/exchange/report_details.hpp>
#include <tamarackglade/gateway/exchange/zone_exchange.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace tamarack {

namespace {

constexpr const char *Identifier = "TGZN"; // distinguishes these datagrams from others
// A gateway of this zone without a report for longer is left out.
constexpr std::chrono::milliseconds PeerLifetime{3'000};
// Reports of a zone count as arriving for this time after the last one.
constexpr std::chrono::milliseconds SenderTimeout{1'000};
constexpr std::chrono::seconds SenderLifetime{30}; // afterwards its numbers are forgotten
constexpr std::chrono::milliseconds DetailsInterval{300};
// Details are repeated in the reports that they come from for longer than this; it covers the loss
// of a datagram.
constexpr std::chrono::milliseconds MaxDetailsAge{700};
constexpr std::size_t MaxDetailsPerDatagram = 4; // each has a few KB at most

std::uint64_t hashOf(const vm_id &vm)
{
    return stableHash(vm.value());
}

std::uint64_t hashOf(const zone_id &zone)
{
    return stableHash(zone.value());
}

std::uint16_t toShort(std::size_t count)
{
    return static_cast<std::uint16_t>(
        std::min<std::size_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

zone_exchange::zone_exchange(gateway_context &context, gateway_member self)
    : m_context(context), m_self(std::move(self))
{
}

void zone_exchange::onPeerReport(schema::peer_report_message report, time_point now)
{
    zone_peer &peer = m_peers[vm_id(report.vm)];
    peer.incarnation = incarnation_number(report.incarnation);
    peer.receivedAt = now;
    peer.successes = report.successes;
    peer.serving = report.serving;
    m_counts.onCounts(vm_id(report.vm), peer.incarnation, report.customers, now);
    peer.use = std::move(report.upstreams);
    peer.ejected = std::move(report.ejected);
    if (!hasDetails(report))
        return;
    report.customers.clear();
    peer.details = std::move(report);
}

std::vector<zone_exchange::outgoing_report> zone_exchange::dueReports(time_point now)
{
    const peer_table &peerTable = m_context.peerTable;
    const duration interval = zoneReportInterval(peerTable.otherZoneCount());
    if (!peerTable.reportsByZone() || !m_schedule.isDue({interval, interval}, true, now))
        return {};
    m_schedule.onSent(now);
    const auto rank = ownRank(now);
    if (!rank)
        return {};
    ++m_attempts;
    const std::vector<std::string> encoded = encodeReports(now);
    std::vector<outgoing_report> outgoing;
    for (const auto &[zone, gateways] : peerTable.otherZones()) {
        std::vector<gateway_member> reachable;
        for (const gateway_member &gateway : gateways) {
            if (peerTable.isReachable(gateway.vm, now))
                reachable.push_back(gateway);
        }
        const auto ranked = rankRelays(reachable.empty() ? gateways : reachable);
        const gateway_member &target =
            relayTarget(*rank, ranked, receivesFrom(zone, now), m_attempts);
        for (const std::string &bytes : encoded)
            outgoing.push_back({target, bytes});
    }
    return outgoing;
}

std::optional<std::size_t> zone_exchange::ownRank(time_point now) const
{
    std::vector<gateway_member> reachable;
    for (const gateway_member &peer : m_context.peerTable.zonePeers()) {
        if (m_context.peerTable.isReachable(peer.vm, now))
            reachable.push_back(peer);
    }
    return relayRank(m_self, reachable);
}

std::vector<std::string> zone_exchange::encodeReports(time_point now)
{
    std::vector<schema::zone_report_message> reports;
    reports.push_back(summary(now));
    addDetails(reports, now);
    std::vector<std::string> encoded;
    encoded.reserve(reports.size());
    for (const auto &report : reports)
        encoded.push_back(
            encodeFlat<schema::zone_report>(report, default_fields::Written, Identifier));
    return encoded;
}

schema::zone_report_message zone_exchange::newReport()
{
    schema::zone_report_message report;
    report.number = ++m_number;
    report.incarnation = m_self.incarnation.value();
    report.vm = m_self.vm.value();
    report.zone = m_self.zone.value();
    return report;
}

schema::zone_report_message zone_exchange::summary(time_point now)
{
    schema::zone_report_message report = newReport();
    addMembers(report, now);
    addUse(report);
    addReceivedFrom(report, now);
    return report;
}

void zone_exchange::addMembers(schema::zone_report_message &report, time_point now)
{
    std::unordered_map<vm_id, std::uint16_t> indices;
    for (const auto &[vm, peer] : m_peers) {
        indices.emplace(vm, toShort(report.members.size()));
        report.members.emplace_back(hashOf(vm), peer.incarnation.value(),
                                    static_cast<std::uint32_t>(millisBetween(peer.receivedAt, now)),
                                    peer.successes, peer.serving);
    }
    for (const member_count &due : m_counts.dueCounts(now)) {
        const auto index = indices.find(due.member);
        if (index != indices.end())
            report.counts.emplace_back(due.count.customer(), due.count.admitted(),
                                       due.count.level(), index->second);
    }
}

void zone_exchange::addUse(schema::zone_report_message &report) const
{
    struct summed_use
    {
        std::size_t used = 0;
        std::size_t ejecting = 0;
    };
    std::unordered_map<std::uint64_t, summed_use> sums;
    for (const auto &[vm, peer] : m_peers) {
        for (const schema::upstream_use &use : peer.use)
            sums[use.upstream()].used += use.online() + use.batch();
        for (const std::uint64_t upstream : peer.ejected)
            ++sums[upstream].ejecting;
    }
    for (const auto &[upstream, sum] : sums)
        report.upstreams.emplace_back(upstream, toShort(sum.used), toShort(sum.ejecting));
}

void zone_exchange::addReceivedFrom(schema::zone_report_message &report, time_point now) const
{
    for (const auto &[vm, sender] : m_senders) {
        if (sender.receivedAt && now - *sender.receivedAt < SenderTimeout)
            report.received_from.emplace_back(hashOf(vm), hashOf(sender.zone));
    }
}

void zone_exchange::addDetails(std::vector<schema::zone_report_message> &reports, time_point now)
{
    if (!m_detailsSchedule.isDue({DetailsInterval, DetailsInterval}, true, now))
        return;
    m_detailsSchedule.onSent(now);
    std::vector<std::unique_ptr<schema::peer_report_message>> details;
    for (auto &[vm, peer] : m_peers) {
        if (!peer.details)
            continue;
        auto message = std::make_unique<schema::peer_report_message>(std::move(*peer.details));
        peer.details.reset();
        addAge(*message, millisBetween(peer.receivedAt, now));
        details.push_back(std::move(message));
    }
    mergeDetails(details, static_cast<std::uint64_t>(MaxDetailsAge.count()));
    for (auto &each : details) {
        if (reports.size() == 1 || reports.back().details.size() == MaxDetailsPerDatagram)
            reports.push_back(newReport());
        reports.back().details.push_back(std::move(each));
    }
}

bool zone_exchange::receivesFrom(const zone_id &zone, time_point now) const
{
    return std::any_of(m_senders.begin(), m_senders.end(), [&](const auto &entry) {
        const remote_sender &sender = entry.second;
        return sender.zone == zone && sender.receivedAt && now - *sender.receivedAt < SenderTimeout;
    });
}

bool zone_exchange::onDatagram(std::string_view bytes, std::string &passOn, time_point now)
{
    const auto report = decodeFlat<schema::zone_report>(bytes, Identifier);
    if (!report)
        return false;
    const bool isOwn = report->zone == m_self.zone.value();
    if (isOwn || !recordSender(*report, now))
        return true;
    if (!report->forwarded) {
        passOn = std::string(bytes);
        flatbuffers::GetMutableRoot<schema::zone_report>(passOn.data())->mutate_forwarded(true);
    }
    apply(*report, now);
    return true;
}

bool zone_exchange::recordSender(const schema::zone_report_message &report, time_point now)
{
    remote_sender &sender = m_senders[vm_id(report.vm)];
    const incarnation_number incarnation(report.incarnation);
    if (incarnation < sender.incarnation)
        return false;
    if (sender.incarnation < incarnation)
        sender = remote_sender{incarnation, 0, zone_id(report.zone), std::nullopt};
    if (!report.forwarded)
        sender.receivedAt = now;
    const bool isNew = report.number > sender.number;
    sender.number = std::max(sender.number, report.number);
    return isNew;
}

void zone_exchange::apply(const schema::zone_report_message &report, time_point now)
{
    for (const schema::zone_sender &sender : report.received_from) {
        if (sender.vm() == hashOf(m_self.vm))
            m_context.peerTable.onReceivedElsewhere(now);
    }
    if (!report.members.empty()) {
        applyMembers(report, now);
        applyUse(report, now);
    }
    for (const auto &details : report.details) {
        const bool isReachable = m_context.peerTable.isReachable(vm_id(details->vm), now);
        m_context.rateExchange.applyUpstreams(*details, isReachable, now);
        m_context.quarantineExchange.apply(*details, now);
        m_context.leavingExchange.apply(*details);
    }
}

// Members count as reachable only if their zone receives the reports of this one, since else
// nobody there knows what this zone admits.
void zone_exchange::applyMembers(const schema::zone_report_message &report, time_point now)
{
    const bool receivesOurs = std::any_of(
        report.received_from.begin(), report.received_from.end(),
        [&](const schema::zone_sender &each) { return each.zone() == hashOf(m_self.zone); });
    if (receivesOurs)
        logContact(zone_id(report.zone), report.members.size(), now);
    std::vector<std::vector<schema::customer_count>> counts(report.members.size());
    for (const schema::zone_customer_count &count : report.counts) {
        if (count.member() < counts.size())
            counts[count.member()].emplace_back(count.customer(), count.admitted(), count.level());
    }
    for (std::size_t i = 0; i < report.members.size(); ++i) {
        const schema::zone_member &member = report.members[i];
        const gateway_member *known = m_context.peerTable.findByHash(member.vm());
        if (known == nullptr || known->zone.value() != report.zone)
            continue;
        const vm_id vm = known->vm;
        const incarnation_number incarnation(member.incarnation());
        const bool wasReachable = receivesOurs
                                  && m_context.peerTable.onRelayed(
                                      vm, incarnation, now - durationOf(member.age_ms()), now);
        m_context.peerTable.setServing(vm, member.serving());
        m_context.rateExchange.applyCustomers(vm, incarnation, counts[i], wasReachable, now);
        m_context.quarantineExchange.onPeerSuccesses(vm, member.successes(), now);
    }
}

void zone_exchange::logContact(const zone_id &zone, std::size_t gateways, time_point now)
{
    const auto [known, isNew] = m_contactAt.try_emplace(zone, now);
    if (isNew || now - known->second > SenderTimeout)
        log_event(log_level::Info, "zone in contact")
            .with("zone", zone.value())
            .with("gateways", gateways);
    known->second = now;
}

// The zone counts as one peer of the allocator.
void zone_exchange::applyUse(const schema::zone_report_message &report, time_point now)
{
    std::unordered_map<upstream_id, slot_use> use;
    std::set<upstream_id> ejected;
    for (const schema::zone_upstream_use &each : report.upstreams) {
        const live_upstream *upstream = m_context.directory.findByHash(each.upstream());
        if (upstream == nullptr)
            continue;
        if (each.used() > 0)
            use[upstream->id].online = each.used();
        if (each.ejecting() > 0)
            ejected.insert(upstream->id);
    }
    m_context.allocator.onPeerUse(vm_id("zone " + report.zone), std::move(use), std::move(ejected),
                                  now);
}

void zone_exchange::tick(time_point now)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (now - peer->second.receivedAt < PeerLifetime) {
            ++peer;
            continue;
        }
        m_counts.remove(peer->first);
        peer = m_peers.erase(peer);
    }
    std::erase_if(m_senders, [&](const auto &entry) {
        return entry.second.receivedAt && now - *entry.second.receivedAt > SenderLifetime;
    });
}

} // namespace tamarack
