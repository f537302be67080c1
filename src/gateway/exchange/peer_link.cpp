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
#include <utility>

namespace tamarack {

namespace asio = boost::asio;

namespace {

// Interval of reports to all zones. It grows with the fleet, as each gateway reports to all others.
constexpr std::chrono::milliseconds MinReportInterval{100};
constexpr std::chrono::milliseconds MaxReportInterval{330};
constexpr std::chrono::milliseconds ReportIntervalPerPeer{10};
constexpr std::size_t MaxDatagramBytes = 60 * 1024; // bytes

absl::StatusOr<asio::ip::udp::endpoint> udpEndpoint(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok())
        return endpoint.status();
    return asio::ip::udp::endpoint(endpoint->address(), endpoint->port());
}

} // namespace

peer_link::peer_link(io_thread &thread, record_store &store, gateway_context &context,
                     gateway_member self, waiting_listener onWaiting)
    : m_context(context), m_self(std::move(self)), m_onWaiting(std::move(onWaiting)),
      m_members(store, context.peerTable, context.quarantineExchange, m_self), m_socket(thread.io())
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

std::vector<vm_id> peer_link::servingGateways() const
{
    std::vector<vm_id> gateways;
    if (m_serving)
        gateways.push_back(m_self.vm);
    for (const gateway_member &peer : m_context.peerTable.reachablePeers(bootNow())) {
        if (m_servingPeers.contains(peer.vm))
            gateways.push_back(peer.vm);
    }
    return gateways;
}

void peer_link::receiveLoop()
{
    std::string buffer(MaxDatagramBytes, '\0');
    asio::ip::udp::endpoint from;
    for (;;) {
        const auto received = m_socket.async_receive_from(asio::buffer(buffer), from, FiberToken);
        if (received.error == asio::error::operation_aborted)
            return;
        if (!received.error)
            onDatagram(std::string_view(buffer).substr(0, received.value), from);
    }
}

// Gateways of a zone prefer the same upstreams, so changes of slots in use are sent to them at
// once.
void peer_link::tick()
{
    const time_point now = bootNow();
    const bool newWaiters = m_context.blockingQueue.waiting() > m_reportedWaiting;
    const duration interval =
        std::clamp<duration>(m_context.peerTable.others().size() * ReportIntervalPerPeer,
                             MinReportInterval, MaxReportInterval);
    const bool hasNews =
        m_context.quarantineExchange.hasNews() && now - m_reportedAt >= MinReportInterval;
    if (newWaiters || m_slotFreed || hasNews || now - m_reportedAt >= interval)
        sendReports(now, true);
    else if (m_context.allocator.ownUse() != m_reportedUse)
        sendReports(now, false);
}

void peer_link::onBatchSlotFreed()
{
    m_slotFreed = true;
}

void peer_link::onDatagram(std::string_view bytes, const asio::ip::udp::endpoint &from)
{
    std::string reply;
    if (!m_context.origins.onDatagram(bytes, reply)) {
        onReport(bytes);
        return;
    }
    boost::system::error_code ignored; // a lost reply counts as none
    if (!reply.empty())
        m_socket.send_to(asio::buffer(reply), from, 0, ignored);
}

void peer_link::onReport(std::string_view bytes)
{
    const auto decoded = decodeFlat<schema::peer_report>(bytes);
    if (!decoded)
        return;
    const schema::peer_report_message &report = *decoded;
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
    m_context.rateExchange.apply(report, wasReachable, now);
    m_context.allocator.onPeerUse(peer.vm, useOf(report), ejectedBy(report), now);
    m_context.quarantineExchange.apply(report, now);
    m_context.leavingExchange.apply(report);
    if (report.serving)
        m_servingPeers.insert(peer.vm);
    else
        m_servingPeers.erase(peer.vm);
    if (report.waiting > 0)
        onWaiting(report);
}

void peer_link::onWaiting(const schema::peer_report_message &report)
{
    const std::size_t gateways = servingGateways().size();
    std::size_t others = report.waiting;
    for (const auto &streams : report.waiting_streams) {
        m_onWaiting(streams->count, software_version(streams->version), gateways);
        others -= std::min<std::size_t>(others, streams->count);
    }
    m_onWaiting(others, std::nullopt, gateways);
}

void peer_link::sendReports(time_point now, bool allZones)
{
    m_reportedUse = m_context.allocator.ownUse();
    if (allZones) {
        m_reportedAt = now;
        m_reportedWaiting = m_context.blockingQueue.waiting();
        m_slotFreed = false;
    }
    std::string report = encodeReport(now);
    for (const gateway_member &peer : m_context.peerTable.others()) {
        if (!allZones && peer.zone != m_self.zone)
            continue;
        const auto heard = m_context.peerTable.recentIncarnation(peer.vm, now);
        flatbuffers::GetMutableRoot<schema::peer_report>(report.data())
            ->mutate_heard_incarnation(heard ? heard->value() : 0);
        send(peer, report);
    }
}

// A datagram that can't be sent now counts as lost: reports and queries are repeated, and an origin
// goes to several gateways.
void peer_link::send(const gateway_member &to, const std::string &bytes)
{
    const auto endpoint = udpEndpoint(to.address);
    if (!endpoint.ok())
        return;
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
}

std::string peer_link::encodeReport(time_point now)
{
    schema::peer_report_message report;
    report.vm = m_self.vm.value();
    report.incarnation = m_self.incarnation.value();
    report.address = m_self.address;
    report.zone = m_self.zone.value();
    report.waiting = static_cast<std::uint32_t>(m_context.blockingQueue.waiting());
    report.serving = m_serving;
    for (const auto &[version, count] : m_context.blockingQueue.waitingStreams()) {
        auto streams = std::make_unique<schema::waiting_stream_count_message>();
        streams->version = version.value();
        streams->count = static_cast<std::uint32_t>(count);
        report.waiting_streams.push_back(std::move(streams));
    }
    for (const auto &[id, use] : m_context.allocator.ownUse())
        report.upstreams.emplace_back(stableHash(id.value()),
                                      static_cast<std::uint16_t>(use.online),
                                      static_cast<std::uint16_t>(use.batch));
    for (const upstream_id &id : m_context.allocator.ejected(now))
        report.ejected.push_back(stableHash(id.value()));
    m_context.rateExchange.addTo(report, now);
    m_context.quarantineExchange.addTo(report, now);
    m_context.leavingExchange.addTo(report);
    return encodeFlat<schema::peer_report>(report, default_fields::Written);
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
