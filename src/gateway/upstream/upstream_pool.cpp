// Keeps idle connections and reuses the most recently used one first.
#include <tamarackglade/gateway/upstream/upstream_pool.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds DefaultKeepAlive{4'000};
// Connections are closed this long before the upstream closes them, so that no request is sent on a
// connection that is being closed.
constexpr std::chrono::milliseconds IdleMargin{1'000};
constexpr std::size_t MaxIdlePerAddress = 64; // idle connections to one address

} // namespace

pooled_client upstream_pool::acquire(const std::string &address, duration maxIdleTime,
                                     const request_id &request)
{
    auto &idle = m_idle[address];
    const time_point now = bootNow();
    for (std::size_t i = idle.size(); i-- > 0;) {
        if (!idle[i].pooled.history.mayCarry(request))
            continue;
        idle_client newest = std::move(idle[i]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        const bool usable = now < newest.expiresAt && now - newest.idleSince <= maxIdleTime;
        if (usable && newest.pooled.client->reusable()) {
            newest.pooled.idleFor = now - newest.idleSince;
            return std::move(newest.pooled);
        }
        newest.pooled.client->close();
    }
    return {std::make_unique<http_client>(m_io, address), std::nullopt, {}, std::nullopt};
}

void upstream_pool::onDropped(const std::string &address, duration idleFor)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    const time_point now = bootNow();
    std::erase_if(found->second,
                  [&](const idle_client &each) { return now - each.idleSince >= idleFor; });
}

void upstream_pool::release(const std::string &address, pooled_client client)
{
    auto &idle = m_idle[address];
    if (!client.client->idle() || client.history.hasUnnamedResponse()
        || idle.size() >= MaxIdlePerAddress)
        return;
    const duration idleTime =
        client.keepAlive ? duration(*client.keepAlive) : duration(DefaultKeepAlive);
    const time_point now = bootNow();
    if (idleTime > IdleMargin)
        idle.push_back({std::move(client), now, now + idleTime - IdleMargin});
}

void upstream_pool::tick(time_point now)
{
    for (auto &[address, idle] : m_idle)
        std::erase_if(idle, [&](const idle_client &each) { return each.expiresAt <= now; });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace tamarack
