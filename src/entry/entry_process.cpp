// Start, configuration changes and the planned stop of an entry.
#include <tamarackglade/entry/entry_process.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds CallTickInterval{20};
constexpr std::chrono::seconds MaxSideWait{3}; // after the start; a listed side may have failed
constexpr std::chrono::milliseconds DrainPollInterval{20};
// For the answers to requests that are in progress at the drain limit.
constexpr std::chrono::milliseconds MaxAnswerTime{500};
constexpr std::size_t AnswerShare = 8; // of the memory, as its divisor
constexpr std::chrono::seconds TlsReloadInterval{1};
constexpr std::chrono::seconds BurnInterval{30}; // maximum time of counts lost if the VM fails

http_response serverError(unsigned status, const std::string &code, const std::string &message)
{
    api_error error = invalidRequest(code, message);
    error.status = static_cast<std::uint16_t>(status);
    if (status >= 500) {
        error.type = "server_error";
        error.ran = execution::Unknown;
    }
    return errorResponse(error, request_id(randomId("req_")));
}

std::vector<listed_vm> sidesOf(const vm_list &list)
{
    std::vector<listed_vm> sides;
    for (const listed_vm &vm : list) {
        if (vm.role == vm_role::Side)
            sides.push_back(vm);
    }
    return sides;
}

} // namespace

entry_process::entry_process(const setting_values &settings, const wire_settings &wire,
                             const process_mutations &mutations)
    : m_settings(settings), m_wire(wire), m_mutations(mutations), m_live(settings),
      m_calls(wire.self, mutations), m_platform(m_control, settings.list("platform")),
      m_limits(m_control, m_platform, m_peers, m_metrics, wire.self, mutations.limits),
      m_burn(m_control, m_platform, m_metrics, wire.self, BurnInterval),
      m_keyed(m_control, m_platform, m_metrics), m_batchDispatcher(wire.self),
      m_jobs({m_control, m_platform, m_peers, m_batchDispatcher, m_config, m_metrics, wire.self,
              mutations.jobs}),
      m_controller(m_jobs, m_config, submission_limits{}, mutations.shell),
      m_context{m_config,
                m_calls,
                m_limits,
                m_metrics,
                m_burn,
                m_keyed,
                std::make_shared<answer_budget>(machineLimits().memoryBytes / AnswerShare),
                m_processEnds,
                settings.milliseconds("request-timeout"),
                mutations.shell},
      m_requestDispatcher(m_context, m_control, m_controller),
      m_configService(m_control, m_platform, m_peers, m_config, wire.self.vm, mutations.config),
      m_vmWatch(m_control, m_platform, m_peers, wire, region_id(settings.text("region")), *this,
                [this](const vm_list &list, time_point readAt) { onVmList(list, readAt); }),
      m_statusHandler(*this, [this] { return status().toJson(); }),
      m_wireServer(m_control, wire, m_statusHandler), m_admin(m_control, m_metrics),
      m_settingsWatch(m_control, entryOptions(),
                      [this](const setting_values &values) { m_live.apply(values); })
{
}

absl::Status entry_process::start()
{
    absl::Status status = startTls();
    if (!status.ok())
        return status;
    const auto wirePort = m_wireServer.listen(m_settings.text("wire-listen"));
    if (!wirePort.ok())
        return wirePort.status();
    m_admin.addPage("/status", [this](const http_request &) {
        http_response response;
        response.body = this->status().toJson();
        return response;
    });
    const auto adminPort = m_admin.listen(m_settings.text("admin-listen"));
    if (!adminPort.ok())
        return adminPort.status();
    m_configService.addListener([this](const std::shared_ptr<const config_state> &state,
                                       bool serving) { onConfig(*state, serving); });
    m_configService.start();
    m_settingsWatch.start();
    m_vmWatch.start();
    m_control.spawn([this] { callTickLoop(); });
    m_burn.start();
    return startServing();
}

absl::Status entry_process::startTls()
{
    const std::string &certificate = m_settings.text("tls-certificate");
    if (certificate.empty())
        return absl::OkStatus();
    m_tls.emplace(certificate, m_settings.text("tls-key"));
    absl::Status loaded = m_tls->reload();
    if (loaded.ok())
        m_control.spawn([this] { reloadTlsLoop(); });
    return loaded;
}

absl::Status entry_process::startServing()
{
    for (std::int64_t i = 0; i < m_settings.integer("threads"); ++i) {
        auto &thread = m_threads.emplace_back(std::make_unique<io_thread>());
        auto &server = m_servers.emplace_back(std::make_unique<http_server>(
            *thread, serverOptions(),
            [this](http_exchange &exchange) { m_requestDispatcher.serve(exchange); }));
        const auto port = server->listen(m_settings.text("listen"));
        if (!port.ok())
            return port.status();
    }
    return absl::OkStatus();
}

http_server_options entry_process::serverOptions()
{
    http_server_options options;
    options.headerLimit = static_cast<std::uint32_t>(m_settings.integer("header-limit"));
    options.bodyLimit = static_cast<std::size_t>(m_settings.integer("body-limit"));
    options.headerTimeout = m_settings.milliseconds("header-timeout");
    options.bodyTimeout = m_settings.milliseconds("body-timeout");
    const auto fileLimit = static_cast<std::size_t>(m_settings.integer("file-limit"));
    options.onHeader = [this, bodyLimit = options.bodyLimit, fileLimit](const http_request &head) {
        return m_requestDispatcher.checkHeader(head, bodyLimit, fileLimit);
    };
    options.makeError = serverError;
    options.tls = m_tls ? &*m_tls : nullptr;
    return options;
}

void entry_process::runUntilStopped()
{
    log_event(log_level::Info, "serving").with("listen", m_settings.text("listen"));
    tamarack::runUntilStopped(
        m_control, [this] { drain(); }, [this] { m_endNow = true; });
    exitProcess(0);
}

void entry_process::onConnected(const std::shared_ptr<wire_peer> &peer)
{
    if (!m_vmWatch.onHello(peer->identity())) {
        peer->close();
        return;
    }
    m_peers.add(peer);
    updatePeers();
    if (peer->identity().role != schema::vm_role::Side)
        return;
    m_batchDispatcher.onConnected(peer);
    m_calls.onConnected(peer);
}

void entry_process::onFrame(const std::shared_ptr<wire_peer> &peer, schema::frame_message frame)
{
    const vm_id &from = peer->identity().vm;
    if (m_configService.onFrame(from, frame) || m_limits.onFrame(from, frame)
        || m_vmWatch.onFrame(from, frame) || m_jobs.onFrame(frame))
        return;
    if (peer->identity().role != schema::vm_role::Side)
        return;
    if (const auto *report = frame.body.Asload_report()) {
        m_sideRegistry.onReport(*peer, *report);
        if (report->state == schema::upstream_state::Leaving)
            m_vmWatch.onLeaving(peer->identity());
    }
    if (!m_batchDispatcher.onFrame(peer, frame))
        m_calls.onFrame(peer, frame);
}

void entry_process::onClosed(const std::shared_ptr<wire_peer> &peer)
{
    m_peers.remove(peer);
    updatePeers();
    if (peer->identity().role != schema::vm_role::Side)
        return;
    m_sideRegistry.onClosed(*peer);
    m_batchDispatcher.onClosed(peer);
    m_calls.onClosed(peer);
}

void entry_process::onConfig(const config_state &state, bool serving)
{
    m_limits.onConfig(state);
    m_vmWatch.onConfig(state);
    m_jobs.onConfig(state);
    updatePeers();
    m_serving = serving;
    m_drained = state.isDrained(m_wire.self.vm, m_wire.self.incarnation);
    updateReadiness();
    if (!m_drained)
        return;
    m_limits.handOver();
    m_jobs.beginHandover();
}

void entry_process::updateReadiness()
{
    m_sideWaitOver = m_sideWaitOver || isSideWaitOver();
    std::string reason;
    if (m_draining)
        reason = "draining";
    else if (m_drained)
        reason = "drained by an operator";
    else if (!m_serving)
        reason = "no configuration is confirmed";
    else if (!m_sideWaitOver)
        reason = "not all sides are connected yet";
    m_admin.setReady(reason.empty(), reason);
}

// A ready entry receives callers from the load balancer; without connected sides it would refuse
// them all.
bool entry_process::isSideWaitOver()
{
    if (bootNow() - m_startedAt >= MaxSideWait)
        return true;
    const std::size_t listed = m_vmWatch.workingSides().size();
    return listed > 0 && m_peers.withRole(schema::vm_role::Side).size() >= listed;
}

void entry_process::onVmList(const vm_list &list, time_point readAt)
{
    updatePeers();
    m_limits.onVmList(list, readAt);
    m_calls.setSides(sidesOf(list), m_vmWatch.workingSides());
    m_jobs.onEntries(m_vmWatch.entries());
}

void entry_process::updatePeers()
{
    std::vector<vm_id> takingWork;
    for (const auto &peer : m_peers.withRole(schema::vm_role::Entry)) {
        const vm_id &vm = peer->identity().vm;
        if (!m_vmWatch.isLeaving(vm))
            takingWork.push_back(vm);
    }
    m_limits.onPeersChanged(takingWork);
    updateConfigPeers();
}

// Includes connected processes, because there is no VM list while the platform is unavailable.
void entry_process::updateConfigPeers()
{
    std::vector<vm_id> peers = m_vmWatch.processes();
    for (const auto role : {schema::vm_role::Entry, schema::vm_role::Side}) {
        for (const auto &peer : m_peers.withRole(role)) {
            if (std::find(peers.begin(), peers.end(), peer->identity().vm) == peers.end())
                peers.push_back(peer->identity().vm);
        }
    }
    m_configService.setPeers(peers);
}

void entry_process::callTickLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(CallTickInterval);
        m_calls.tick();
        if (!m_sideWaitOver)
            updateReadiness();
    }
}

void entry_process::reloadTlsLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(TlsReloadInterval);
        const auto reloaded = m_tls->reloadIfChanged();
        if (!reloaded.ok())
            log_event(log_level::Error, "certificate not reloaded")
                .with("reason", std::string(reloaded.status().message()));
        else if (*reloaded)
            log_event(log_level::Info, "certificate reloaded");
    }
}

void entry_process::drain()
{
    if (m_mutations.shell == shell_mutation::StopAtOnce)
        return;
    m_draining = true;
    updateReadiness();
    boost::this_fiber::sleep_for(m_live.drainNotice());
    for (const auto &server : m_servers)
        server->drain();
    m_limits.handOver();
    m_jobs.beginHandover();
    const auto deadline = std::chrono::steady_clock::now() + m_live.drainLimit();
    while ((activeRequests() > 0 || !isReleased()) && !m_endNow
           && std::chrono::steady_clock::now() < deadline)
        boost::this_fiber::sleep_for(DrainPollInterval);
    const std::size_t cut = activeRequests();
    m_processEnds = true;
    const auto end = std::chrono::steady_clock::now() + MaxAnswerTime;
    while (activeRequests() > 0 && std::chrono::steady_clock::now() < end)
        boost::this_fiber::sleep_for(DrainPollInterval);
    m_burn.flush();
    log_event(log_level::Info, "stopped")
        .with("requests_cut", cut)
        .with("requests_unanswered", activeRequests());
}

bool entry_process::isReleased()
{
    return m_jobs.isReleased() && m_limits.isReleased() && m_keyed.isIdle();
}

std::size_t entry_process::activeRequests() const
{
    std::size_t active = 0;
    for (const auto &server : m_servers)
        active += server->activeRequests();
    return active;
}

process_status entry_process::status()
{
    process_status status;
    status.self = m_wire.self;
    const auto config = m_config.current();
    status.configOffset = config ? config->offset : log_offset(0);
    status.manifestOffset = config ? config->manifestOffset : log_offset(0);
    status.draining =
        m_draining || (config && config->isDrained(m_wire.self.vm, m_wire.self.incarnation));
    status.serving = m_configService.readiness() == config_readiness::Serving && !status.draining;
    status.partitionsOwned = m_jobs.ownedCount();
    status.requests = activeRequests();
    status.sides = m_sideRegistry.sides();
    return status;
}

} // namespace tamarack
