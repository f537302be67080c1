// Translates I/O into events of config_spread, and its actions into I/O.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/node/config_service.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <boost/fiber/operations.hpp>

#include <random>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};

config_spread_options spreadOptions(config_mutation mutation)
{
    config_spread_options options;
    options.mutation = mutation;
    return options;
}

std::mt19937_64 seededGenerator()
{
    return std::mt19937_64(std::random_device{}());
}

} // namespace

config_service::config_service(io_thread &thread, platform_client &platform, peer_directory &peers,
                               config_store &store, const vm_id &self, config_mutation mutation)
    : m_thread(thread), m_platform(platform), m_peers(peers), m_store(store),
      m_spread(self, spreadOptions(mutation), seededGenerator())
{
}

void config_service::addListener(change_listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void config_service::start()
{
    m_spread.start(steadyNow());
    tail_handler handler;
    handler.onRead = [this](const log_read &read, bool) { onRead(read); };
    handler.onGap = [](log_offset) {};
    handler.onReachable = [this](bool reachable) {
        if (!reachable)
            onLogDown();
    };
    m_tailer = std::make_unique<log_tailer>(m_thread, m_platform, std::string(ConfigStream),
                                            log_offset(1), std::move(handler));
    m_thread.spawn([this] { tickLoop(); });
}

void config_service::setPeers(const std::vector<vm_id> &peers)
{
    const std::lock_guard lock(m_mutex);
    m_spread.onPeers(peers);
}

bool config_service::onFrame(const vm_id &from, const schema::frame_message &frame)
{
    const time_point now = steadyNow();
    config_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto *offer = frame.body.Asconfig_offer())
            actions = m_spread.onOffer(now, from, *offer);
        else if (const auto *fetch = frame.body.Asconfig_fetch())
            actions = m_spread.onFetch(now, from, *fetch);
        else if (const auto *snapshot = frame.body.Asconfig_snapshot())
            actions = m_spread.onSnapshot(now, from, *snapshot);
        else
            return false;
    }
    perform(actions);
    return true;
}

config_readiness config_service::readiness()
{
    const std::lock_guard lock(m_mutex);
    return m_spread.readiness(steadyNow());
}

void config_service::onRead(const log_read &read)
{
    config_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_spread.onLogRecords(steadyNow(), read.requestedAt, read.entries,
                                        log_offset(read.next.value() - 1));
    }
    perform(actions);
}

void config_service::onLogDown()
{
    config_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_spread.onLogDown(steadyNow());
    }
    perform(actions);
}

void config_service::tickLoop()
{
    for (;;) {
        boost::this_fiber::sleep_for(TickInterval);
        config_actions actions;
        {
            const std::lock_guard lock(m_mutex);
            actions = m_spread.tick(steadyNow(), wallSeconds());
        }
        perform(actions);
    }
}

void config_service::perform(const config_actions &actions)
{
    for (const config_action &action : actions)
        performOne(action);
}

void config_service::performOne(const config_action &action)
{
    if (const auto *offer = std::get_if<send_config_offer>(&action)) {
        m_peers.send(offer->peer, frameBody(offer->message));
    } else if (const auto *fetch = std::get_if<send_config_fetch>(&action)) {
        m_peers.send(fetch->peer, frameBody(fetch->message));
    } else if (const auto *snapshot = std::get_if<send_config_snapshot>(&action)) {
        m_peers.send(snapshot->peer, frameBody(*snapshot->message));
    } else if (const auto *append = std::get_if<append_config_snapshot>(&action)) {
        m_thread.spawn([this, payload = append->payload] {
            // A failed append only delays the snapshot: the retention rule appends it again.
            const auto stored = m_platform.append(std::string(ConfigStream), payload);
            if (!stored.ok())
                log_event(log_level::Warning, "configuration snapshot not stored")
                    .with("reason", std::string(stored.status().message()));
        });
    } else if (const auto *changed = std::get_if<config_changed>(&action)) {
        m_store.replace(changed->state);
        for (const change_listener &listener : m_listeners)
            listener(changed->state, changed->serving);
        log_event(log_level::Info, "configuration in force")
            .with("offset", changed->state->offset.value())
            .with("manifest_offset", changed->state->manifestOffset.value())
            .with("serving", changed->serving);
    }
}

} // namespace tamarack
