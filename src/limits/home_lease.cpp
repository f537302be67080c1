// The home's side of the lease.
#include <tamarackglade/limits/home_lease.hpp>

#include <algorithm>

namespace tamarack {

void home_lease::restart(time_point now)
{
    m_unacknowledgedPings.clear();
    m_heldUntil.reset();
    m_lastAcknowledgedPingAt = now;
    m_nextPingAt = now;
}

std::uint64_t home_lease::sendPing(time_point now)
{
    std::erase_if(m_unacknowledgedPings,
                  [&](const auto &ping) { return ping.second + m_options->leaseDuration <= now; });
    m_unacknowledgedPings[++m_sequence] = now;
    m_nextPingAt = now + m_options->pingInterval;
    return m_sequence;
}

void home_lease::acknowledge(std::uint64_t sequence)
{
    const auto ping = m_unacknowledgedPings.find(sequence);
    if (ping == m_unacknowledgedPings.end())
        return;
    m_lastAcknowledgedPingAt = std::max(m_lastAcknowledgedPingAt, ping->second);
    m_heldUntil =
        std::max(m_heldUntil.value_or(time_point{}), ping->second + m_options->leaseDuration);
    m_unacknowledgedPings.erase(m_unacknowledgedPings.begin(), std::next(ping));
}

} // namespace tamarack
