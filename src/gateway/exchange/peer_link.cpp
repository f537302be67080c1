// Schedules, encodes, sends and applies the reports between gateways.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/gateway/exchange/peer_link.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/fiber_token.hpp>
#include <tamarackglade/runtime/tcp_stream.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds QuarantineInterval{100}; // of reports of its changes
// In large fleets, lists of gateways are made anew after this time; in others at each tick.
constexpr std::chrono::milliseconds ListInterval{60};
constexpr std::size_t MaxDatagramBytes = 60 * 1024; // bytes
constexpr std::size_t MaxDatagramsPerWake = 64; // then other fibers run
constexpr std::size_t MaxEndpoints = 4'096; // more than the gateways of a fleet
constexpr const char *YieldIdentifier = "TGYL"; // distinguishes these datagrams from others

absl::StatusOr<asio::ip::udp::endpoint> udpEndpoint(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok())
        return endpoint.status();
    return asio::ip::udp::endpoint(endpoint->address(), endpoint->port());
}

} // namespace

peer_link::peer_link(io_thread &thread, record_store &store, gateway_context &context,
                     gateway_member self, peer_waiting_listener &batches)
    : m_context(context), m_self(std::move(self)), m_batches(batches),
      m_members(store, context.peerTable, context.quarantineExchange, m_self),
      m_socket(thread.io()), m_zones(context, m_self), m_yields(m_self.incarnation.value())
{
    context.origins.setSender(
        [this](const gateway_member &to, const std::string &bytes) { send(to, bytes); });
}

absl::Status peer_link::start()
{
    const auto endpoint = udpEndpoint(m_self.address);
    if (!endpoint.ok())
        return endpoint.status();
    boost::system::error_code error;
    m_socket.open(endpoint->protocol(), error);
    if (!error)
        m_socket.bind(*endpoint, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat("cannot bind UDP socket on ", m_self.address, ": ", error.message()));
    boost::fibers::fiber([this] { receiveLoop(); }).detach();
    m_members.start();
    return absl::OkStatus();
}

void peer_link::leave()
{
    m_serving = false;
    m_members.leave();
}

void peer_link::receiveLoop()
{
    std::string buffer(MaxDatagramBytes, '\0');
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto received = m_socket.async_receive_from(asio::buffer(buffer), from, FiberToken);
        if (received.error == asio::error::operation_aborted)
            return;
        if (received.error)
            continue;
        onDatagram(std::string_view(buffer).substr(0, received.value), from);
        // Datagrams that have arrived meanwhile need no further wake-up.
        boost::system::error_code error;
        for (std::size_t i = 1; i < MaxDatagramsPerWake; ++i) {
            const std::size_t size = m_socket.receive_from(asio::buffer(buffer), from, 0, error);
            if (error)
                break;
            onDatagram(std::string_view(buffer).substr(0, size), from);
        }
    }
}

void peer_link::tick()
{
    const time_point now = bootNow();
    if (!m_context.peerTable.reportsByZone() || now - m_listedAt >= ListInterval) {
        m_listedAt = now;
        listServingGateways(now);
        formCell(now);
    }
    m_zones.tick(now);
    askForSlots(now);
    m_hasNews = m_hasNews || m_context.quarantineExchange.hasNews();
    reportToZone(now);
    reportToOtherZones(now);
}

void peer_link::listServingGateways(time_point now)
{
    m_servingGateways = m_context.peerTable.servingPeers(now);
    if (m_serving)
        m_servingGateways.push_back(m_self.vm);
}

void peer_link::formCell(time_point now)
{
    m_cellPeers = m_context.peerTable.zonePeers();
    m_otherCellPeers.clear();
    if (!m_context.peerTable.reportsByZone()) {
        m_context.allocator.setCell(std::nullopt);
        return;
    }
    std::vector<gateway_member> reachable = m_cellPeers;
    std::erase_if(reachable, [&](const gateway_member &peer) {
        return !m_context.peerTable.isReachable(peer.vm, now);
    });
    zone_cell cell = cellOf(m_self, reachable, m_context.directory);
    const auto isInCell = [&](const gateway_member &peer) {
        return std::find(cell.peers.begin(), cell.peers.end(), peer) != cell.peers.end();
    };
    std::copy_if(m_cellPeers.begin(), m_cellPeers.end(), std::back_inserter(m_otherCellPeers),
                 [&](const gateway_member &peer) { return !isInCell(peer); });
    m_cellPeers = std::move(cell.peers);
    m_context.allocator.setCell(std::move(cell.upstreams));
}

// Gateways of a cell prefer the same upstreams, so they learn of each other's slots first. Where
// the zone isn't divided, all of its gateways are one cell.
void peer_link::reportToZone(time_point now)
{
    const bool changed = m_hasNews || m_context.allocator.ownUse() != m_reportedUse;
    if (m_cellSchedule.isDue(reportIntervals(m_cellPeers.size()), changed, now)) {
        m_cellSchedule.onSent(now);
        m_reportedUse = m_context.allocator.ownUse();
        sendReports(m_cellPeers, now);
    }
    if (!m_otherCellPeers.empty()
        && m_otherCellsSchedule.isDue(otherCellIntervals(m_otherCellPeers.size()), true, now)) {
        m_otherCellsSchedule.onSent(now);
        sendReports(m_otherCellPeers, now);
    }
}

void peer_link::reportToOtherZones(time_point now)
{
    for (const auto &report : m_zones.dueReports(now))
        send(report.to, report.bytes);
    const auto receivers = directPeersElsewhere();
    report_intervals intervals = reportIntervals(receivers.size());
    intervals.changed = std::max<duration>(intervals.changed, QuarantineInterval);
    if (!m_otherZonesSchedule.isDue(intervals, m_hasNews, now))
        return;
    m_otherZonesSchedule.onSent(now);
    m_hasNews = false;
    if (!receivers.empty())
        sendReports(receivers, now);
}

std::vector<gateway_member> peer_link::directPeersElsewhere() const
{
    std::vector<gateway_member> peers;
    if (m_context.peerTable.reportsByZone())
        return peers;
    for (const auto &[zone, gateways] : m_context.peerTable.otherZones())
        peers.insert(peers.end(), gateways.begin(), gateways.end());
    return peers;
}

void peer_link::askForSlots(time_point now)
{
    if (m_context.blockingQueue.waiting() == 0)
        return;
    for (const yield_target &target :
         m_yields.plan(m_context.allocator, m_context.blockingQueue.waitingWork(), now)) {
        const gateway_member *gateway = m_context.peerTable.find(target.gateway);
        if (gateway == nullptr)
            continue;
        schema::yield_request_message request;
        request.vm = m_self.vm.value();
        request.upstream = stableHash(target.upstream.value());
        m_context.metrics.add("tamarack_slots_asked_total");
        send(*gateway,
             encodeFlat<schema::yield_request>(request, default_fields::Omitted, YieldIdentifier));
    }
}

bool peer_link::onYieldRequest(std::string_view bytes)
{
    const auto request = decodeFlat<schema::yield_request>(bytes, YieldIdentifier);
    if (!request)
        return false;
    m_batches.onPeerWaiting();
    const live_upstream *upstream = m_context.directory.findByHash(request->upstream);
    if (upstream != nullptr && m_batches.onYieldAsked(upstream->id))
        m_askers.insert(vm_id(request->vm));
    return true;
}

void peer_link::onBatchSlotFreed()
{
    std::vector<gateway_member> receivers;
    for (const vm_id &vm : std::exchange(m_askers, {})) {
        if (const gateway_member *asker = m_context.peerTable.find(vm))
            receivers.push_back(*asker);
    }
    if (!receivers.empty())
        sendReports(receivers, bootNow());
}

void peer_link::onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from)
{
    std::string reply;
    if (m_context.origins.onDatagram(bytes, reply)) {
        boost::system::error_code ignored; // a lost reply counts as none
        if (!reply.empty())
            m_socket.send_to(asio::buffer(reply), from, 0, ignored);
        return;
    }
    std::string passOn;
    if (m_zones.onDatagram(bytes, passOn, bootNow())) {
        if (passOn.empty())
            return;
        for (const gateway_member &peer : m_context.peerTable.zonePeers())
            send(peer, passOn);
        return;
    }
    if (!onYieldRequest(bytes))
        onReport(bytes);
}

void peer_link::onReport(std::string_view bytes)
{
    auto decoded = decodeFlat<schema::peer_report>(bytes);
    if (!decoded)
        return;
    schema::peer_report_message &report = *decoded;
    const time_point now = bootNow();
    const gateway_member peer{vm_id(report.vm), incarnation_number(report.incarnation),
                              report.address, zone_id(report.zone)};
    const bool receivesOurReports = report.heard_incarnation == m_self.incarnation.value();
    const bool known = m_context.peerTable.isReachable(peer.vm, now);
    const bool wasReachable = m_context.peerTable.onReport(peer, receivesOurReports, now);
    if (!known && m_context.peerTable.isReachable(peer.vm, now))
        log_event(log_level::Info, "gateway in contact")
            .with("peer", peer.vm.value())
            .with("rate_share", m_context.peerTable.share(now));
    m_context.peerTable.setServing(peer.vm, report.serving);
    m_context.rateExchange.applyCustomers(peer.vm, peer.incarnation, report.customers, wasReachable,
                                          now);
    m_context.rateExchange.applyUpstreams(report, wasReachable, now);
    const auto use = useOf(report);
    const bool slotFreed = m_yields.onReport(peer.vm, use);
    m_context.allocator.onPeerUse(peer.vm, use, ejectedBy(report), now);
    m_context.quarantineExchange.apply(report, now);
    m_context.leavingExchange.apply(report);
    if (report.waiting > 0)
        m_batches.onPeerWaiting();
    if (slotFreed)
        m_context.blockingQueue.processQueue();
    if (peer.zone == m_self.zone && m_context.peerTable.reportsByZone())
        m_zones.onPeerReport(std::move(report), now);
}

// Each copy holds the receiver's incarnation if a report of that receiver arrived lately.
void peer_link::sendReports(const std::vector<gateway_member> &receivers, time_point now)
{
    schema::peer_report_message report = makeReport(now);
    std::string bytes = encodeFlat<schema::peer_report>(report, default_fields::Written);
    for (const gateway_member &peer : receivers) {
        const auto heard = m_context.peerTable.recentIncarnation(peer.vm, now);
        flatbuffers::GetMutableRoot<schema::peer_report>(bytes.data())
            ->mutate_heard_incarnation(heard ? heard->value() : 0);
        send(peer, bytes);
    }
    if (m_context.peerTable.reportsByZone())
        m_zones.onPeerReport(std::move(report), now);
}

// A datagram that can't be sent now counts as lost: reports and queries are repeated, and an origin
// goes to several gateways.
void peer_link::send(const gateway_member &to, const std::string &bytes)
{
    auto known = m_endpoints.find(to.address);
    if (known == m_endpoints.end()) {
        const auto endpoint = udpEndpoint(to.address);
        if (!endpoint.ok())
            return;
        if (m_endpoints.size() >= MaxEndpoints)
            m_endpoints.clear();
        known = m_endpoints.emplace(to.address, *endpoint).first;
    }
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), known->second, 0, ignored);
}

schema::peer_report_message peer_link::makeReport(time_point now)
{
    schema::peer_report_message report;
    report.vm = m_self.vm.value();
    report.incarnation = m_self.incarnation.value();
    report.address = m_self.address;
    report.zone = m_self.zone.value();
    report.waiting = static_cast<std::uint32_t>(m_context.blockingQueue.waiting());
    report.serving = m_serving;
    for (const auto &[id, use] : m_context.allocator.ownUse())
        report.upstreams.emplace_back(stableHash(id.value()),
                                      static_cast<std::uint16_t>(use.online),
                                      static_cast<std::uint16_t>(use.batch));
    for (const upstream_id &id : m_context.allocator.ejected(now))
        report.ejected.push_back(stableHash(id.value()));
    m_context.rateExchange.addTo(report, now);
    m_context.quarantineExchange.addTo(report, now);
    m_context.leavingExchange.addTo(report);
    return report;
}

std::unordered_map<upstream_id, slot_use>
peer_link::useOf(const schema::peer_report_message &report) const
{
    std::unordered_map<upstream_id, slot_use> use;
    for (const schema::upstream_use &each : report.upstreams) {
        if (const live_upstream *upstream = m_context.directory.findByHash(each.upstream()))
            use[upstream->id] = {each.online(), each.batch()};
    }
    return use;
}

std::set<upstream_id> peer_link::ejectedBy(const schema::peer_report_message &report) const
{
    std::set<upstream_id> ejected;
    for (const std::uint64_t hash : report.ejected) {
        if (const live_upstream *upstream = m_context.directory.findByHash(hash))
            ejected.insert(upstream->id);
    }
    return ejected;
}

} // namespace tamarack
