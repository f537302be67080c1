// Start, periodic work, readiness and planned stop of a gateway.
#include <tamarackglade/gateway/process/gateway_process.hpp>
#include <tamarackglade/gateway/relay/gateway_refusal.hpp>
#include <tamarackglade/logging/init_logging.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>
#include <tamarackglade/runtime/source_digest.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/runtime/stop_signal.hpp>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::milliseconds ReadinessInterval{200};
constexpr std::chrono::milliseconds MinLoggedDelay{150};
constexpr std::chrono::milliseconds DrainPollInterval{20};
// With an older configuration the gateway is not ready, so that the load balancer sends new callers
// to others before this gateway has to refuse them.
constexpr std::chrono::milliseconds MaxReadyConfigAge{3'000};
constexpr std::chrono::seconds WriteTimeout{10};
constexpr unsigned Unavailable = 503;
constexpr std::chrono::milliseconds RoomRetryAfter{500}; // after a refusal for lack of memory
constexpr std::chrono::milliseconds PauseAfterDrain{100};
// Before the end of the grace of a planned stop: requests in progress are answered with failures.
constexpr std::chrono::milliseconds EndReserve{500};
constexpr std::chrono::milliseconds MaxAnswerTime{200}; // for these answers
constexpr int NoticeParts = 3; // at most one of so many parts of the grace is the drain notice

shared_rate_options rateOptions(const gateway_options &options)
{
    shared_rate_options rates;
    rates.maxDirectFleet = options.maxDirectFleet;
    return rates;
}

// Upstreams, peers, the store and files keep the rest of the descriptors.
budget_limits budgetOf(const gateway_options &options)
{
    constexpr std::size_t MinOwnDescriptors = 64;
    const std::size_t descriptors =
        options.descriptorLimit > 0 ? options.descriptorLimit : machineLimits().descriptors;
    const std::size_t own = std::max(MinOwnDescriptors, descriptors / 4);
    budget_limits limits;
    limits.bytes = memorySharesOf(options).callers;
    limits.connections = descriptors > own ? descriptors - own : 1;
    return limits;
}

} // namespace

gateway_process::gateway_process(io_thread &thread, const setting_values &settings,
                                 record_store &store, const platform_protocol &protocol)
    : m_thread(thread), m_options(gatewayOptionsFrom(settings)), m_startedAt(bootNow()),
      m_directory(directory_options{m_options.upstreamReturnGrace}),
      m_self{m_options.vm, incarnation_number(wallMicros()), m_options.peerAddress, m_options.zone},
      m_peerTable(m_self, rateOptions(m_options)), m_rates(m_peerTable),
      m_upstreamRates(m_self.vm, m_peerTable),
      m_allocator(m_directory, m_upstreamRates, placement_options{m_options.zone}, wallMicros()),
      m_queue(m_allocator), m_blockingQueue(m_allocator, m_queue),
      m_requests(protocol, m_directory, m_metrics, [this] { m_blockingQueue.processQueue(); }),
      m_config(store, protocol, m_options.keyFreshness, m_requests,
               [this](const forward_config &config) { onConfig(config); }),
      m_rateExchange(m_rates, m_upstreamRates, m_directory, m_config, m_metrics),
      m_leavingExchange(m_directory, m_metrics), m_pool(thread.io()),
      m_upstreams(store, protocol, m_directory, m_upstreamRates,
                  [this] { m_blockingQueue.processQueue(); }),
      m_caller(m_pool, protocol, {&m_rateExchange, &m_leavingExchange}, &m_upstreams,
               memorySharesOf(m_options).responses),
      m_quarantine(m_self.vm, m_self.incarnation, quarantine_options()),
      m_requestQuarantine(m_self.vm, request_quarantine_options()),
      m_quarantineExchange(m_quarantine, m_requestQuarantine, m_metrics),
      m_origins(m_self.vm, m_peerTable, m_metrics), m_context{m_options,
                                                              protocol,
                                                              m_config,
                                                              m_directory,
                                                              m_upstreams,
                                                              m_allocator,
                                                              m_blockingQueue,
                                                              m_caller,
                                                              m_peerTable,
                                                              m_rates,
                                                              m_rateExchange,
                                                              m_quarantine,
                                                              m_requestQuarantine,
                                                              m_quarantineExchange,
                                                              m_leavingExchange,
                                                              m_origins,
                                                              m_openCalls,
                                                              m_metrics},
      m_batchStore(store, m_options.batchPartitions, m_options.batchKeepTime),
      m_batchApi(m_context, m_batchStore), m_peers(thread, store, m_context, m_self, *this),
      m_batches(
          m_context, m_batchStore,
          [this]() -> const std::vector<vm_id> & { return m_peers.servingGateways(); },
          [this] { m_peers.onBatchSlotFreed(); }),
      m_router(m_context, m_batchApi),
      m_settings(thread, gatewayOptions(),
                 [this](const setting_values &values) { onSettings(values); }),
      m_budget(std::make_shared<connection_budget>(budgetOf(m_options))),
      m_admin(thread, m_metrics, m_budget)
{
    m_blockingQueue.setBatchYield(
        [this](const placement_request &request) { return m_batches.yieldOne(request.version); });
    m_quarantine.setFaultOfAnother(
        [this](const broken_run &broken) { return m_requestQuarantine.isFaultOfAnother(broken); });
}

absl::Status gateway_process::start()
{
    absl::Status status;
    m_thread.run([&] {
        status = m_peers.start();
        if (status.ok())
            status = startServers();
        if (!status.ok())
            return;
        m_settings.start();
        m_config.start();
        m_upstreams.start();
        m_batchStore.start();
        boost::fibers::fiber([this] { tickLoop(); }).detach();
        boost::fibers::fiber([this] { readinessLoop(); }).detach();
    });
    if (status.ok())
        log_event(log_level::Info, "started")
            .with("vm", m_self.vm.value())
            .with("sources", sourceDigest())
            .with("incarnation", m_self.incarnation.value())
            .with("listen", m_options.callerAddress)
            .with("store", m_options.storeAddress);
    return status;
}

absl::Status gateway_process::startServers()
{
    http_server_options options;
    options.writeTimeout = WriteTimeout;
    options.budget = m_budget;
    options.makeError = [](unsigned code, const std::string &name, const std::string &) {
        return refusal(code, name,
                       code == Unavailable ? duration(RoomRetryAfter) : duration::zero());
    };
    m_callers = std::make_unique<http_server>(
        m_thread, options, [this](http_exchange &exchange) { m_router.handle(exchange); });
    m_readiness = std::make_unique<http_server>(
        m_thread, options, [this](http_exchange &exchange) { answerReadiness(exchange); });
    const auto readiness = m_readiness->listen(m_options.readinessAddress);
    if (!readiness.ok())
        return readiness.status();
    const auto admin = m_admin.listen(m_options.adminAddress);
    if (!admin.ok())
        return admin.status();
    return m_callers->listen(m_options.callerAddress).status();
}

void gateway_process::runUntilStopped()
{
    // To end sooner would cut the requests in progress, which the drain limit bounds anyway.
    const auto goOn = [] { log_event(log_level::Info, "further stop signal ignored"); };
    tamarack::runUntilStopped(
        m_thread, [this] { drain(); }, goOn);
    exitProcess(0);
}

void gateway_process::recordLoopDelay(duration delay)
{
    m_metrics.observeSeconds("tamarack_event_loop_delay_seconds", "", toSeconds(delay));
    if (delay < MinLoggedDelay)
        return;
    log_event(log_level::Warning, "event loop delayed")
        .with("delay_ms", toSeconds(delay) * 1000)
        .with("requests", m_callers->activeRequests())
        .with("config_ms_ago", toSeconds(bootNow() - m_config.changedAt()) * 1000);
}

void gateway_process::tickLoop()
{
    time_point dueAt = bootNow();
    for (;;) {
        recordLoopDelay(std::max(duration::zero(), bootNow() - dueAt));
        m_blockingQueue.processQueue();
        m_quarantineExchange.tick(m_directory, m_peers.servingGateways(), bootNow());
        m_upstreamRates.setLoadShare(m_quarantineExchange.loadShare(bootNow()));
        m_batches.schedule();
        m_peers.tick();
        dueAt = bootNow() + TickInterval;
        boost::this_fiber::sleep_for(TickInterval);
    }
}

void gateway_process::readinessLoop()
{
    for (;;) {
        const std::string reason = notReadyReason();
        if (reason != m_notReadyReason) {
            m_notReadyReason = reason;
            log_event(log_level::Info, reason.empty() ? "ready" : "not ready")
                .with("reason", reason)
                .with("after_ms", toSeconds(bootNow() - m_startedAt) * 1000);
            m_admin.setReady(reason.empty(), reason);
        }
        m_peers.setServing(reason.empty());
        const time_point now = bootNow();
        m_pool.tick(now);
        m_upstreams.tick();
        m_batchStore.tick(now);
        m_batchStore.setLargeFleet(m_peerTable.reportsByZone());
        m_upstreams.setLargeFleet(m_peerTable.reportsByZone());
        m_allocator.tick(now);
        m_rateExchange.tick();
        m_leavingExchange.tick();
        m_origins.tick();
        m_metrics.set("tamarack_waiting_requests", static_cast<double>(m_blockingQueue.waiting()));
        m_metrics.set("tamarack_batch_runs", static_cast<double>(m_batches.running()));
        m_metrics.set("tamarack_failing_upstreams", static_cast<double>(m_allocator.failing(now)));
        reportBudget();
        m_metrics.set("tamarack_rate_share", m_peerTable.share(now));
        m_metrics.set("tamarack_dropped_log_lines", static_cast<double>(droppedLogLines()));
        m_metrics.set("tamarack_serving_gateways",
                      static_cast<double>(m_peers.servingGateways().size()));
        boost::this_fiber::sleep_for(ReadinessInterval);
    }
}

void gateway_process::reportBudget()
{
    const budget_counts &counts = m_budget->counts();
    const auto set = [this](const char *name, std::size_t value) {
        m_metrics.set(name, static_cast<double>(value));
    };
    set("tamarack_caller_bytes", m_budget->bytes());
    set("tamarack_response_bytes", m_caller.responseBytes());
    set("tamarack_text_bytes", m_batches.textBytes());
    set("tamarack_caller_connections", m_budget->connections());
    set("tamarack_ended_stalled_connections", counts.stalled);
    set("tamarack_ended_idle_connections", counts.idle);
    set("tamarack_ended_large_requests", counts.largest);
    set("tamarack_refused_connections", counts.refused);
    set("tamarack_denied_reads", counts.denied);
}

std::string gateway_process::notReadyReason() const
{
    if (m_draining)
        return "draining";
    const active_config &activeConfig = m_config.activeConfig();
    if (!activeConfig.current())
        return "no configuration";
    if (!activeConfig.freshWithin(MaxReadyConfigAge, bootNow()))
        return "configuration not confirmed recently";
    if (!m_upstreams.ready())
        return "upstreams unknown";
    if (!m_peers.ready())
        return "gateways unknown";
    return "";
}

void gateway_process::onConfig(const forward_config &config)
{
    const time_point now = bootNow();
    for (const forward_customer &customer : config.customers())
        m_rates.setLimit(customer.id, customer.ratePerSecond, customer.burst, now);
    std::unordered_map<group_id, double> warmUpRates;
    for (const forward_group &group : config.groups())
        warmUpRates.emplace(group.id, group.warmUpRate);
    m_upstreamRates.setWarmUpRates(std::move(warmUpRates), now);
    if (m_callers)
        m_callers->setCallerLimits(config.limits().headerTimeout, config.limits().idleTimeout,
                                   config.limits().maxHeaderBytes, config.limits().maxBodyBytes);
}

// Names and addresses are not reloaded; they keep their values from the start.
void gateway_process::onSettings(const setting_values &values)
{
    const gateway_options changed = gatewayOptionsFrom(values);
    m_options.keyFreshness = changed.keyFreshness;
    m_options.batchFreshness = changed.batchFreshness;
    m_options.drainNotice = changed.drainNotice;
    m_options.drainLimit = changed.drainLimit;
    m_options.stopGrace = changed.stopGrace;
    m_options.silenceLimit = changed.silenceLimit;
    m_options.firstEventReserve = changed.firstEventReserve;
    const absl::Status level = setLogLevel(values.text("log-level"));
    if (!level.ok())
        log_event(log_level::Error, "log level not changed")
            .with("reason", std::string(level.message()));
}

// Serves callers until the load balancer has noticed the drain, then finishes requests in progress.
// Requests that are still in progress shortly before the end of the grace are answered with
// failures.
void gateway_process::drain()
{
    const time_point startedAt = bootNow();
    const duration grace = m_options.stopGrace;
    const duration notice = std::min<duration>(m_options.drainNotice, grace / NoticeParts);
    const duration limit =
        std::max(notice, std::min<duration>(m_options.drainLimit, grace - EndReserve));
    const auto isWithin = [&](duration time) { return bootNow() - startedAt < time; };
    log_event(log_level::Info, "stopping").with("requests", m_callers->activeRequests());
    m_draining = true;
    m_batches.stop();
    m_callers->closeAfterAnswers();
    boost::fibers::fiber([this] { m_peers.leave(); }).detach();
    while (isWithin(notice))
        boost::this_fiber::sleep_for(DrainPollInterval);
    m_callers->drain();
    // Idle connections are closed during this pause; no new request is read after it.
    boost::this_fiber::sleep_for(PauseAfterDrain);
    while (m_callers->activeRequests() > 0 && isWithin(limit))
        boost::this_fiber::sleep_for(DrainPollInterval);
    const std::size_t cut = m_callers->activeRequests();
    m_openCalls.endAll();
    while (m_callers->activeRequests() > 0 && isWithin(limit + MaxAnswerTime))
        boost::this_fiber::sleep_for(DrainPollInterval);
    log_event(log_level::Info, "stopped")
        .with("requests_cut", cut)
        .with("requests_unanswered", m_callers->activeRequests());
}

void gateway_process::answerReadiness(http_exchange &exchange)
{
    const bool known = m_context.protocol.isReadinessPath(exchange.request().path);
    const std::string reason = notReadyReason();
    if (!known)
        exchange.respond(refusal(404, "no_such_page"));
    else if (reason.empty())
        exchange.respond(http_response());
    else
        exchange.respond(refusal(503, "not_ready"));
}

} // namespace tamarack
