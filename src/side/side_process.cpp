// Starts a side, applies configuration changes and performs the planned stop.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>
#include <tamarackglade/side/side_process.hpp>

#include <boost/fiber/operations.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds DrainPollInterval{20};
constexpr double Percent = 100;
constexpr std::size_t ResponseShare = 8; // of the memory, as its divisor

side_options readSideOptions(const setting_values &values, gate_mutation mutation)
{
    side_options options;
    options.gate.mutation = mutation;
    options.upstreamAddress = values.text("upstream");
    options.gate.group = values.text("group");
    options.gate.kind = values.text("kind") == "service" ? schema::upstream_kind::Service
                                                         : schema::upstream_kind::Engine;
    options.responseBytes = machineLimits().memoryBytes / ResponseShare;
    options.gate.maxStreams = static_cast<std::size_t>(values.integer("max-streams"));
    return options;
}

} // namespace

side_process::side_process(const setting_values &settings, const wire_settings &wire,
                           const process_mutations &mutations)
    : m_settings(settings), m_wire(wire), m_mutations(mutations), m_liveSettings(settings),
      m_platform(m_thread, settings.list("platform")),
      m_configService(m_thread, m_platform, m_peers, m_config, wire.self.vm, mutations.config),
      m_server(m_thread, m_metrics, readSideOptions(settings, mutations.gate),
               wire.self.incarnation),
      m_orders(m_thread, m_platform, m_metrics, wire.self.vm, settings.text("upstream"),
               settings.text("kind") != "service"),
      m_statusHandler(*this, [this] { return status().toJson(); }),
      m_wireServer(m_thread, wire, m_statusHandler), m_admin(m_thread, m_metrics),
      m_settingsWatch(m_thread, sideOptions(),
                      [this](const setting_values &values) { m_liveSettings.apply(values); })
{
}

absl::Status side_process::start()
{
    const auto wirePort = m_wireServer.listen(m_settings.text("wire-listen"));
    if (!wirePort.ok())
        return wirePort.status();
    m_admin.addPage("/status", [this](const http_request &) {
        http_response response;
        response.body = status().toJson();
        return response;
    });
    const auto adminPort = m_admin.listen(m_settings.text("admin-listen"));
    if (!adminPort.ok())
        return adminPort.status();
    m_configService.addListener(
        [this](const std::shared_ptr<const config_state> &state, bool) { onConfig(*state); });
    m_configService.start();
    m_settingsWatch.start();
    m_server.start();
    m_admin.setReady(true, "");
    log_event(log_level::Info, "serving")
        .with("vm", m_settings.text("vm"))
        .with("wire_port", *wirePort)
        .with("admin_port", *adminPort);
    return absl::OkStatus();
}

void side_process::runUntilStopped()
{
    tamarack::runUntilStopped(
        m_thread, [this] { drain(); }, [this] { m_endNow = true; });
    exitProcess(0);
}

void side_process::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    m_peers.add(peer);
    updatePeers();
    m_server.onConnected(peer);
}

void side_process::onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame)
{
    if (!m_configService.onFrame(peer->identity().vm, frame))
        m_server.onFrame(peer, frame);
}

void side_process::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    m_peers.remove(peer);
    updatePeers();
    m_server.onClosed(peer);
}

void side_process::onConfig(const config_state &state)
{
    m_orders.onConfig(state);
    if (state.inForce)
        m_server.setOnlineProtection(state.inForce->batch.onlineProtection / Percent);
    if (!state.isDrained(m_wire.self.vm, m_wire.self.incarnation))
        return;
    m_draining = true;
    m_admin.setReady(false, "drained by an operator");
    if (m_mutations.shell != shell_mutation::IgnoreDrain)
        m_server.drain();
}

process_status side_process::status() const
{
    process_status status;
    status.self = m_wire.self;
    if (const auto config = m_config.current()) {
        status.configOffset = config->offset;
        status.manifestOffset = config->manifestOffset;
    }
    status.draining = m_draining;
    status.serving = !m_draining;
    status.requests = m_server.activeCalls();
    status.orders = m_orders.orders();
    return status;
}

// A side exchanges configuration with the entries that are connected to it.
void side_process::updatePeers()
{
    std::vector<vm_id> peers;
    for (const auto &peer : m_peers.withRole(schema::vm_role::Entry))
        peers.push_back(peer->identity().vm);
    m_configService.setPeers(peers);
}

void side_process::drain()
{
    if (m_mutations.shell == shell_mutation::StopAtOnce)
        return;
    m_draining = true;
    m_admin.setReady(false, "draining");
    m_server.drain();
    const auto limit = m_liveSettings.drainLimit();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    // The load report informs entries that this side is leaving. Calls that they sent before they
    // received it still arrive during this time.
    boost::this_fiber::sleep_for(m_liveSettings.drainNotice());
    while (!m_server.isDrained() && !m_endNow && std::chrono::steady_clock::now() < deadline)
        boost::this_fiber::sleep_for(DrainPollInterval);
    // Leaves time to write the last frames.
    boost::this_fiber::sleep_for(DrainPollInterval);
    log_event(log_level::Info, "stopped").with("calls_cut", m_server.activeCalls());
}

} // namespace tamarack
