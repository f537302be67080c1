// Event queue, links and log of the simulated configuration fleet.
#include <tamarackglade/report/frame_size.hpp>
#include <tamarackglade/report/virtual_config_fleet.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr time_point Start = time_point(24h);
// Mean delay of the duplicate of a message.
constexpr duration DuplicateDelay = 1500ms;
// Length prefix of a frame.
constexpr std::size_t LengthBytes = 4;

// Size of the frame. frameSize would have to copy the message, which is not copyable.
std::size_t snapshotBytes(const schema::config_snapshot_message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = schema::config_snapshot::Pack(builder, &message);
    builder.Finish(schema::Createframe(builder, schema::frame_body::config_snapshot, body.Union()));
    return LengthBytes + builder.GetSize();
}

} // namespace

virtual_config_fleet::virtual_config_fleet(config_fleet_options options)
    : m_options(options), m_random(options.seed), m_now(Start), m_nodes(options.nodes)
{
    for (node_index node = 0; node < m_nodes.size(); ++node) {
        m_names.emplace_back("vm-" + std::to_string(node));
        m_indexes.emplace(m_names.back(), node);
    }
}

void virtual_config_fleet::start(node_index node)
{
    virtual_node &started = m_nodes[node];
    ++started.incarnation;
    started.paused = false;
    started.deferredEvents.clear();
    started.spread = std::make_unique<config_spread>(m_names[node], m_options.spread,
                                                     std::mt19937_64(m_random()));
    started.spread->onPeers(m_names);
    started.spread->start(m_now);
    const std::uint64_t incarnation = started.incarnation;
    schedule(randomDelay(m_options.logReadInterval / 2),
             [this, node, incarnation] { readLog(node, incarnation); });
    tick(node, incarnation);
}

void virtual_config_fleet::stop(node_index node)
{
    m_nodes[node].spread.reset();
    m_nodes[node].paused = false;
    m_nodes[node].deferredEvents.clear();
}

void virtual_config_fleet::pause(node_index node)
{
    m_nodes[node].paused = true;
}

void virtual_config_fleet::resume(node_index node)
{
    m_nodes[node].paused = false;
    for (auto &event : std::exchange(m_nodes[node].deferredEvents, {}))
        event();
}

void virtual_config_fleet::cutLog(node_index node, bool cut)
{
    m_nodes[node].logCut = cut;
}

void virtual_config_fleet::cutLink(node_index from, node_index to, bool cut)
{
    if (cut)
        m_cutLinks.emplace(from, to);
    else
        m_cutLinks.erase({from, to});
}

log_offset virtual_config_fleet::append(std::string payload)
{
    m_log.push_back(std::move(payload));
    m_logTimes.push_back(m_now);
    return log_offset(m_log.size());
}

void virtual_config_fleet::advance(duration time)
{
    const time_point end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

bool virtual_config_fleet::isRunning(node_index node) const
{
    return m_nodes[node].spread != nullptr;
}

std::uint64_t virtual_config_fleet::incarnation(node_index node) const
{
    return m_nodes[node].incarnation;
}

const config_spread &virtual_config_fleet::spread(node_index node) const
{
    return *m_nodes[node].spread;
}

const config_node_traffic &virtual_config_fleet::traffic(node_index node) const
{
    return m_nodes[node].traffic;
}

void virtual_config_fleet::resetTraffic()
{
    for (virtual_node &node : m_nodes)
        node.traffic = {};
}

void virtual_config_fleet::schedule(duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

// Drops events of an earlier incarnation and defers those of a paused node.
void virtual_config_fleet::deliver(node_index node, std::uint64_t incarnation,
                                   std::function<config_actions(config_spread &)> event)
{
    virtual_node &target = m_nodes[node];
    if (target.spread == nullptr || target.incarnation != incarnation)
        return;
    if (target.paused) {
        target.deferredEvents.emplace_back([this, node, incarnation, event = std::move(event)] {
            deliver(node, incarnation, event);
        });
        return;
    }
    perform(node, event(*target.spread));
    if (m_observe)
        m_observe(node);
}

void virtual_config_fleet::perform(node_index node, config_actions actions)
{
    for (config_action &action : actions) {
        if (const auto *offer = std::get_if<send_config_offer>(&action)) {
            send(node, offer->peer, frameSize(offer->message),
                 [message = offer->message, this](config_spread &to, const vm_id &from) {
                     return to.onOffer(m_now, from, message);
                 });
        } else if (const auto *fetch = std::get_if<send_config_fetch>(&action)) {
            send(node, fetch->peer, frameSize(fetch->message),
                 [message = fetch->message, this](config_spread &to, const vm_id &from) {
                     return to.onFetch(m_now, from, message);
                 });
        } else if (const auto *snapshot = std::get_if<send_config_snapshot>(&action)) {
            send(node, snapshot->peer, snapshotBytes(*snapshot->message),
                 [message = snapshot->message, this](config_spread &to, const vm_id &from) {
                     return to.onSnapshot(m_now, from, *message);
                 });
        } else if (auto *saved = std::get_if<append_config_snapshot>(&action)) {
            if (m_logUp && !m_nodes[node].logCut)
                append(std::move(saved->payload));
        }
    }
}

void virtual_config_fleet::send(
    node_index from, const vm_id &peer, std::size_t bytes,
    std::function<config_actions(config_spread &, const vm_id &)> receive)
{
    const node_index to = m_indexes.at(peer);
    m_nodes[from].traffic.bytes += bytes;
    ++m_nodes[from].traffic.messages;
    if (m_cutLinks.contains({from, to}) || m_nodes[to].spread == nullptr)
        return;
    m_nodes[to].traffic.bytes += bytes;
    const std::uint64_t incarnation = m_nodes[to].incarnation;
    const auto arrive = [this, from, to, incarnation, receive = std::move(receive)] {
        deliver(to, incarnation, [this, from, receive](config_spread &spread) {
            return receive(spread, m_names[from]);
        });
    };
    schedule(randomDelay(m_options.linkDelay), arrive);
    if (m_duplicate)
        schedule(randomDelay(DuplicateDelay), arrive);
}

void virtual_config_fleet::tick(node_index node, std::uint64_t incarnation)
{
    deliver(node, incarnation, [this, node, incarnation](config_spread &spread) {
        config_actions actions = spread.tick(m_now, wallSeconds());
        const time_point next = std::max(spread.nextDeadline(), m_now + duration(1ms));
        schedule(std::min(next - m_now, duration(200ms)),
                 [this, node, incarnation] { tick(node, incarnation); });
        return actions;
    });
}

void virtual_config_fleet::readLog(node_index node, std::uint64_t incarnation)
{
    const time_point requestedAt = m_now;
    schedule(randomDelay(m_options.logDelay), [this, node, incarnation, requestedAt] {
        finishRead(node, incarnation, requestedAt);
    });
}

void virtual_config_fleet::finishRead(node_index node, std::uint64_t incarnation,
                                      time_point requestedAt)
{
    const virtual_node &reader = m_nodes[node];
    if (reader.spread == nullptr || reader.incarnation != incarnation)
        return;
    const bool answered = m_logUp && !reader.logCut;
    const log_offset end(m_log.size());
    std::vector<log_entry> entries;
    std::size_t index =
        std::max<std::size_t>(static_cast<std::size_t>(reader.spread->nextLogOffset().value()) - 1,
                              firstRetainedAfter(duration::zero()));
    for (; answered && index < m_log.size() && entries.size() < m_options.maxLogReadRecords;
         ++index)
        entries.push_back({log_offset(index + 1), m_log[index]});
    for (const log_entry &entry : entries)
        m_nodes[node].traffic.logBytes += entry.payload.size();
    deliver(node, incarnation,
            [this, node, incarnation, requestedAt, answered, end, entries](config_spread &spread) {
                const bool more = entries.size() == m_options.maxLogReadRecords;
                schedule(more ? duration::zero() : m_options.logReadInterval,
                         [this, node, incarnation] { readLog(node, incarnation); });
                if (!answered)
                    return spread.onLogDown(m_now);
                return spread.onLogRecords(m_now, requestedAt, entries, end);
            });
}

std::size_t virtual_config_fleet::firstRetainedAfter(duration time) const
{
    const auto first = std::lower_bound(m_logTimes.begin(), m_logTimes.end(),
                                        m_now + time - m_options.logRetention);
    return static_cast<std::size_t>(first - m_logTimes.begin());
}

std::uint64_t virtual_config_fleet::wallSeconds() const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count());
}

duration virtual_config_fleet::randomDelay(duration mean)
{
    std::uniform_int_distribution<duration::rep> pick(0, 2 * mean.count());
    return duration(pick(m_random));
}

} // namespace tamarack
