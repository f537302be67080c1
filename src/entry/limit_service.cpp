// Passes events to the limiter under the lock and executes its actions, all I/O, after releasing
// it.
#include <tamarackglade/entry/limit_service.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/schema/records.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/fiber/operations.hpp>

#include <random>
#include <utility>

namespace tamarack {

namespace {

constexpr std::string_view HomesStream = "homes";
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::milliseconds NoLimiterRetryDelay{1'000};

template <class Message>
std::optional<limit_message> copyOf(const Message *message)
{
    return message == nullptr ? std::nullopt : std::optional<limit_message>(*message);
}

// Returns nothing for a frame of another protocol.
std::optional<limit_message> limitMessage(const schema::frame_message &frame)
{
    switch (frame.body.type) {
    case schema::frame_body::loan_request:
        return copyOf(frame.body.Asloan_request());
    case schema::frame_body::loan_grant:
        return copyOf(frame.body.Asloan_grant());
    case schema::frame_body::lease_ping:
        return copyOf(frame.body.Aslease_ping());
    case schema::frame_body::lease_ack:
        return copyOf(frame.body.Aslease_ack());
    case schema::frame_body::homes_request:
        return copyOf(frame.body.Ashomes_request());
    case schema::frame_body::homes_snapshot:
        return copyOf(frame.body.Ashomes_snapshot());
    default:
        return std::nullopt;
    }
}

} // namespace

limit_service::limit_service(io_thread &thread, platform_client &platform, peer_directory &peers,
                             metric_registry &metrics, const peer_identity &self,
                             limit_mutation mutation)
    : m_thread(thread), m_platform(platform), m_peers(peers), m_metrics(metrics), m_self(self),
      m_mutation(mutation)
{
}

void limit_service::onConfig(const config_state &state)
{
    if (!state.inForce)
        return;
    bool first = false;
    std::vector<limit_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        first = m_limiter == nullptr;
        if (first)
            begin(state.inForce->fleet.partitions);
        applyRates(state);
        actions = m_limiter->takeActions();
    }
    perform(actions);
    if (!first)
        return;
    tail_handler handler;
    handler.onRead = [this](const log_read &read, bool) { onHomesRead(read); };
    handler.onGap = [](log_offset) {};
    handler.onReachable = [this](bool reachable) {
        const std::lock_guard lock(m_mutex);
        m_limiter->onLogReachable(reachable);
    };
    m_tailer = std::make_unique<log_tailer>(m_thread, m_platform, std::string(HomesStream),
                                            log_offset(1), std::move(handler));
    m_thread.spawn([this] { tickLoop(); });
}

void limit_service::onVmList(const vm_list &list, time_point readAt)
{
    const std::lock_guard lock(m_mutex);
    m_entriesReadAt = readAt;
    m_entries.clear();
    for (const listed_vm &record : list) {
        if (record.role == vm_role::Entry)
            m_entries.push_back({record.vm, record.incarnation, record.zone, record.region});
    }
    updateEntries();
}

void limit_service::onPeersChanged(const std::vector<vm_id> &takingWork)
{
    const std::lock_guard lock(m_mutex);
    m_takingWork = takingWork;
    updateEntries();
}

// A peer's incarnation in its handshake takes precedence over the VM list, which may be outdated.
void limit_service::updateEntries()
{
    if (!m_limiter)
        return;
    m_limiter->onPeers(m_takingWork);
    if (m_entries.empty())
        return;
    std::vector<live_entry> entries = m_entries;
    for (live_entry &entry : entries) {
        if (entry.vm == m_self.vm)
            entry.incarnation = m_self.incarnation;
        else if (const auto peer = m_peers.find(entry.vm))
            entry.incarnation = peer->identity().incarnation;
    }
    m_limiter->onEntries(entries, m_entriesReadAt);
}

bool limit_service::onFrame(const vm_id &from, const schema::frame_message &frame)
{
    const auto message = limitMessage(frame);
    if (!message)
        return false;
    std::vector<limit_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_limiter)
            return true;
        m_limiter->onMessage(from, *message, steadyNow());
        actions = m_limiter->takeActions();
    }
    perform(actions);
    return true;
}

limit_verdict limit_service::admit(const customer_id &customer)
{
    boost::fibers::future<limit_verdict> verdict;
    std::vector<limit_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_limiter)
            return {false, NoLimiterRetryDelay};
        const std::uint64_t ticket = ++m_lastTicket;
        verdict = m_waiting[ticket].get_future();
        m_limiter->admit(customer, ticket, steadyNow());
        actions = m_limiter->takeActions();
    }
    perform(actions);
    return verdict.get();
}

void limit_service::handOver()
{
    std::vector<limit_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_limiter)
            return;
        m_limiter->handOver(steadyNow());
        actions = m_limiter->takeActions();
    }
    perform(actions);
}

bool limit_service::isReleased()
{
    const std::lock_guard lock(m_mutex);
    return !m_limiter || !m_limiter->mustHandOver();
}

void limit_service::begin(std::uint32_t partitions)
{
    limit_options options;
    options.partitions = partitions;
    options.mutation = m_mutation;
    m_limiter =
        std::make_unique<fleet_limiter>(options, m_self.vm, m_self.incarnation,
                                        std::mt19937_64(std::random_device{}()), steadyNow());
    updateEntries();
}

void limit_service::applyRates(const config_state &state)
{
    const time_point now = steadyNow();
    std::map<customer_id, customer_rate> newRates;
    for (const auto &[id, customer] : state.inForce->customers)
        newRates[id] = customer_rate{customer.ratePerSecond, customer.burst};
    for (const auto &[id, rate] : m_rates) {
        if (!newRates.contains(id))
            m_limiter->removeCustomer(id);
    }
    for (const auto &[id, rate] : newRates) {
        const auto known = m_rates.find(id);
        if (known == m_rates.end() || !(known->second == rate))
            m_limiter->setRate(id, rate, now);
    }
    m_rates = std::move(newRates);
}

void limit_service::onHomesRead(const log_read &read)
{
    std::vector<limit_action> actions;
    {
        const std::lock_guard lock(m_mutex);
        for (const log_entry &entry : read.entries) {
            const auto batch = decodeBatch(entry.payload);
            if (!batch.ok())
                continue;
            for (const auto &record : batch->records) {
                if (const auto *claim = record->body.Ashome_claimed())
                    m_limiter->onHomeRecord(entry.offset, *claim, steadyNow());
            }
        }
        actions = m_limiter->takeActions();
    }
    perform(actions);
}

void limit_service::tickLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(TickInterval);
        std::vector<limit_action> actions;
        {
            const std::lock_guard lock(m_mutex);
            m_limiter->tick(steadyNow());
            actions = m_limiter->takeActions();
        }
        perform(actions);
    }
}

void limit_service::perform(const std::vector<limit_action> &actions)
{
    for (const limit_action &action : actions) {
        if (const auto *admitted = std::get_if<admit_ticket>(&action))
            settle(admitted->ticket, {true, std::chrono::milliseconds(0)});
        else if (const auto *refused = std::get_if<refuse_ticket>(&action))
            settle(refused->ticket,
                   {false, std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter)});
        else if (const auto *message = std::get_if<send_limit_message>(&action))
            sendMessage(*message);
        else if (const auto *claim = std::get_if<append_claim>(&action))
            appendClaim(claim->claim);
    }
}

void limit_service::settle(std::uint64_t ticket, const limit_verdict &verdict)
{
    verdict_promise promise;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end())
            return;
        promise = std::move(found->second);
        m_waiting.erase(found);
    }
    m_metrics.add(verdict.admitted ? "tamarack_limit_admitted_total"
                                   : "tamarack_limit_refused_total");
    promise.set_value(verdict);
}

void limit_service::sendMessage(const send_limit_message &message)
{
    m_metrics.add("tamarack_limit_messages_total");
    std::visit([&](const auto &body) { m_peers.send(message.to, frameBody(body)); }, message.body);
}

void limit_service::appendClaim(const schema::home_claimed_message &claim)
{
    m_thread.spawn([this, claim] {
        schema::log_batch_message batch;
        batch.record_id = randomId("home_");
        addRecord(batch, claim);
        m_metrics.add("tamarack_log_appends_total{stream=\"homes\"}");
        const auto stored = m_platform.append(std::string(HomesStream), encodeBatch(batch));
        // After an unknown outcome, reading the stream shows whether the claim was stored.
        if (stored.ok() || absl::IsUnknown(stored.status()))
            return;
        const std::lock_guard lock(m_mutex);
        m_limiter->onAppendFailed(claim, steadyNow());
    });
}

} // namespace tamarack
