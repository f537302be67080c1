// Applies upstream records to the directory and logs each change.
#include <tamarackglade/gateway/upstream/upstream_watch.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/fiber.hpp>

#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds PollWait{1'500};

} // namespace

upstream_watch::upstream_watch(record_store &store, const platform_protocol &protocol,
                               upstream_directory &directory, upstream_rates &rates,
                               std::function<void()> onChange)
    : m_store(store), m_protocol(protocol), m_directory(directory), m_rates(rates),
      m_onChange(std::move(onChange)),
      m_follower(store, protocol.upstreamStream(), {true, PollWait, PollPause}, *this)
{
}

void upstream_watch::onSnapshot(const std::vector<keyed_record> &records, time_point)
{
    std::vector<live_upstream> upstreams;
    for (const keyed_record &record : records) {
        auto upstream = m_protocol.decodeUpstream(record.key, record.value);
        if (upstream.ok())
            upstreams.push_back(std::move(*upstream));
    }
    const time_point now = bootNow();
    m_directory.replaceAll(upstreams, now);
    for (const live_upstream &upstream : upstreams)
        m_rates.onWarmUp(upstream, now + upstream.warmUp, now);
    log_event(log_level::Info, "upstreams read").with("count", upstreams.size());
    m_onChange();
}

void upstream_watch::onRecord(const std::string &record, time_point)
{
    const auto keyed = m_store.decodeKeyed(record);
    if (!keyed)
        return;
    const auto upstream = m_protocol.decodeUpstream(keyed->key, keyed->value);
    if (upstream.ok()) {
        put(*upstream);
        return;
    }
    const upstream_id id(keyed->key);
    if (m_directory.find(id) == nullptr)
        return;
    log_event(log_level::Info, "upstream removed")
        .upstream(id.value())
        .with("reason",
              keyed->value.empty() ? "record deleted" : std::string(upstream.status().message()));
    m_directory.remove(id, bootNow());
    m_onChange();
}

void upstream_watch::put(const live_upstream &upstream)
{
    const time_point now = bootNow();
    m_rates.onWarmUp(upstream, now + upstream.warmUp, now);
    if (!m_directory.put(upstream))
        return;
    log_event(log_level::Info, "upstream changed")
        .upstream(upstream.id.value())
        .with("address", upstream.address)
        .with("version", upstream.version.value())
        .with("slots", upstream.slots)
        .with("leaving", upstream.leaving)
        .with("warm_up_ms", toSeconds(upstream.warmUp) * 1000)
        .with("started", upstream.incarnation.value());
    m_onChange();
}

void upstream_watch::refreshSoon()
{
    boost::fibers::fiber([this, since = bootNow()] { m_follower.catchUp(since); }).detach();
}

void upstream_watch::refresh(duration limit)
{
    m_follower.catchUp(bootNow(), limit);
}

void upstream_watch::onStart(const upstream_id &upstream, incarnation_number start)
{
    if (!m_directory.onStart(upstream, start))
        return;
    log_event(log_level::Info, "upstream states another start than its record")
        .upstream(upstream.value())
        .with("started", start.value());
    m_onChange();
}

void upstream_watch::onComplete(time_point sentAt)
{
    m_directory.onStoreAnswer(bootNow());
    m_directory.confirm(sentAt);
}

// Runs independently of reads, which may be seconds apart, as upstreams write only on changes.
void upstream_watch::tick()
{
    for (const upstream_id &id : m_directory.tick(bootNow()))
        log_event(log_level::Info, "upstream gone after the store's return").upstream(id.value());
}

void upstream_watch::onFailure()
{
    m_directory.onStoreFailure(bootNow());
}

} // namespace tamarack
