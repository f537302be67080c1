// The lease by which a home may lend only while its successor agrees.
#include <tamarackglade/limits/home_lease.hpp>

#include <algorithm>

namespace tamarack {

void home_lease::restart(time_point now)
{
    m_sent.clear();
    m_until.reset();
    m_lastSign = now;
    m_nextPing = now;
}

std::uint64_t home_lease::sendPing(time_point now)
{
    std::erase_if(m_sent,
                  [&](const auto &ping) { return ping.second + m_options->leaseDuration <= now; });
    m_sent[++m_sequence] = now;
    m_nextPing = now + m_options->pingInterval;
    return m_sequence;
}

void home_lease::acknowledge(std::uint64_t sequence)
{
    const auto ping = m_sent.find(sequence);
    if (ping == m_sent.end())
        return;
    m_lastSign = std::max(m_lastSign, ping->second);
    m_until = std::max(m_until.value_or(time_point{}), ping->second + m_options->leaseDuration);
    m_sent.erase(m_sent.begin(), std::next(ping));
}

} // namespace tamarack
