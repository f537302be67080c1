// Selects the connections that are ended for others.
#include <tamarackglade/buffers/connection_budget.hpp>

#include <algorithm>
#include <numeric>

namespace tamarack {

namespace {

template <class Holders>
std::size_t endedBytes(const Holders &holders)
{
    return std::accumulate(
        holders.begin(), holders.end(), std::size_t{0},
        [](std::size_t sum, const auto &each) { return sum + (each.ended ? each.bytes : 0); });
}

} // namespace

std::unique_ptr<connection_budget::share> connection_budget::open(std::function<void()> close,
                                                                  time_point now)
{
    if (m_connections >= m_limits.connections) {
        if (holder *idle = longestIdle())
            end(*idle, m_counts.idle);
        else if (holder *stalled = mostStalled(now))
            end(*stalled, m_counts.stalled);
    }
    makeRoom(ConnectionBytes, nullptr, now);
    const bool hasRoom = m_bytes - endedBytes(m_holders) + ConnectionBytes <= m_limits.bytes;
    if (m_connections >= m_limits.connections || !hasRoom) {
        ++m_counts.refused;
        return nullptr;
    }
    m_holders.push_back({std::move(close)});
    m_holders.back().progressAt = now;
    m_bytes += ConnectionBytes;
    ++m_connections;
    return std::make_unique<share>(*this, std::prev(m_holders.end()));
}

// Connections that were ended hold their bytes until their owners have run, so there may be no room
// yet.
bool connection_budget::makeRoom(std::size_t bytes, const holder *asker, time_point now)
{
    if (m_bytes + bytes <= m_limits.bytes)
        return true;
    while (m_bytes - endedBytes(m_holders) + bytes > m_limits.bytes) {
        if (holder *stalled = mostStalled(now)) {
            end(*stalled, m_counts.stalled);
            continue;
        }
        holder *largest = largestReceiving();
        const std::size_t needed = asker == nullptr ? bytes : asker->bytes + bytes;
        if (largest != nullptr && largest != asker && largest->bytes > SmallBytes
            && largest->bytes >= needed) {
            end(*largest, m_counts.largest);
            continue;
        }
        holder *idle = needed > SmallBytes ? nullptr : longestIdle();
        if (idle == nullptr)
            return false;
        end(*idle, m_counts.idle);
    }
    return m_bytes + bytes <= m_limits.bytes;
}

connection_budget::holder *connection_budget::mostStalled(time_point now)
{
    holder *most = nullptr;
    for (holder &each : m_holders) {
        const bool waitsForPeer =
            each.phase == connection_phase::Receiving || each.phase == connection_phase::Sending;
        if (!each.ended && waitsForPeer && now - each.progressAt >= StallTime
            && (most == nullptr || each.bytes > most->bytes))
            most = &each;
    }
    return most;
}

connection_budget::holder *connection_budget::largestReceiving()
{
    holder *largest = nullptr;
    for (holder &each : m_holders) {
        const bool isRead =
            each.phase == connection_phase::Receiving || each.phase == connection_phase::Waiting;
        if (!each.ended && isRead && (largest == nullptr || each.bytes > largest->bytes))
            largest = &each;
    }
    return largest;
}

connection_budget::holder *connection_budget::longestIdle()
{
    holder *longest = nullptr;
    for (holder &each : m_holders) {
        if (!each.ended && each.phase == connection_phase::Idle
            && (longest == nullptr || each.progressAt < longest->progressAt))
            longest = &each;
    }
    return longest;
}

void connection_budget::end(holder &each, std::size_t &count)
{
    ++count;
    each.ended = true;
    --m_connections;
    each.close();
}

void connection_budget::remove(holder_iterator each)
{
    m_bytes -= each->bytes;
    if (!each->ended)
        --m_connections;
    m_holders.erase(each);
}

bool connection_budget::share::reserve(std::size_t bytes, time_point now)
{
    if (m_holder->ended)
        return false;
    if (!m_budget.makeRoom(bytes, &*m_holder, now)) {
        ++m_budget.m_counts.denied;
        return false;
    }
    // Making room may have ended the asker itself, if it was stalled.
    if (m_holder->ended)
        return false;
    add(bytes);
    return true;
}

void connection_budget::share::charge(std::size_t bytes, time_point now)
{
    m_holder->progressAt = now;
    m_budget.makeRoom(bytes, &*m_holder, now);
    add(bytes);
}

void connection_budget::share::add(std::size_t bytes)
{
    m_holder->bytes += bytes;
    m_budget.m_bytes += bytes;
}

void connection_budget::share::releaseRequest()
{
    m_budget.m_bytes -= m_holder->bytes - ConnectionBytes;
    m_holder->bytes = ConnectionBytes;
}

void connection_budget::share::setPhase(connection_phase phase, time_point now)
{
    m_holder->phase = phase;
    m_holder->progressAt = now;
}

} // namespace tamarack
