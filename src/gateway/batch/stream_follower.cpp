// Long polls, snapshots and on-demand reads of a stream partition.
#include <tamarackglade/gateway/batch/stream_follower.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds InitialRetryPause{100};

} // namespace

stream_follower::stream_follower(record_store &store, stream_partition partition,
                                 follow_options options, stream_listener &listener)
    : m_store(store), m_partition(std::move(partition)), m_options(options), m_listener(listener),
      m_needSnapshot(options.keyed)
{
}

void stream_follower::start()
{
    boost::fibers::fiber([this] { followLoop(); }).detach();
}

bool stream_follower::catchUp(time_point since)
{
    const auto complete = [&] { return m_completeAt && *m_completeAt >= since; };
    std::unique_lock lock(m_mutex);
    const std::uint64_t startedBefore = m_refreshes;
    while (!complete()) {
        if (m_failedRefresh > startedBefore)
            return false;
        if (m_catchingUp) {
            m_caughtUp.wait(lock);
            continue;
        }
        m_catchingUp = true;
        const std::uint64_t number = ++m_refreshes;
        lock.unlock();
        const bool read = readOnce(std::chrono::milliseconds(0));
        lock.lock();
        m_catchingUp = false;
        if (!read)
            m_failedRefresh = number;
        m_caughtUp.notify_all();
    }
    return true;
}

bool stream_follower::catchUp(time_point since, duration limit)
{
    const auto done = std::make_shared<boost::fibers::promise<bool>>();
    auto future = done->get_future();
    boost::fibers::fiber([this, done, since] { done->set_value(catchUp(since)); }).detach();
    return future.wait_for(limit) == boost::fibers::future_status::ready && future.get();
}

void stream_follower::followLoop()
{
    auto retryPause = InitialRetryPause;
    for (;;) {
        m_lastReadFailed = !readOnce(nextWait());
        if (!m_lastReadFailed) {
            retryPause = InitialRetryPause;
            boost::this_fiber::sleep_for(m_options.pause);
            continue;
        }
        boost::this_fiber::sleep_for(retryPause);
        retryPause = std::min(retryPause * 2, m_options.maxRetryPause);
    }
}

// Does not wait in the first read, which only finds the end, nor after a failure, so that the
// recovery of the store is noticed early.
std::chrono::milliseconds stream_follower::nextWait() const
{
    return m_completeAt && !m_lastReadFailed ? m_options.wait : std::chrono::milliseconds(0);
}

bool stream_follower::readSnapshot()
{
    const time_point sentAt = bootNow();
    const newest_reply reply = m_store.newest(m_partition);
    if (!reply.read) {
        m_listener.onFailure();
        return false;
    }
    m_listener.onSnapshot(reply.records, sentAt);
    m_position = std::max(m_position, reply.end);
    m_needSnapshot = false;
    return true;
}

bool stream_follower::readOnce(std::chrono::milliseconds wait)
{
    if (m_needSnapshot && !readSnapshot())
        return false;
    const stream_position from = m_position;
    const time_point sentAt = bootNow();
    const read_reply reply = m_store.read(m_partition, from, wait);
    if (reply.result == read_result::Failed) {
        m_listener.onFailure();
        return false;
    }
    if (reply.result == read_result::Lost) {
        m_needSnapshot = m_options.keyed;
        if (!m_options.keyed && m_position < reply.first) {
            m_position = reply.first;
            m_listener.onSkipped(reply.first);
        }
        return true;
    }
    if (reply.end < from) {
        onOtherLog(reply.end);
        return false;
    }
    deliver(from, reply, sentAt);
    return true;
}

// A log never ends before what was read of it, so another store answers at the address. What it
// holds isn't known yet, and its end confirms nothing.
void stream_follower::onOtherLog(stream_position end)
{
    log_event(log_level::Error, "another log in place of the one that was read")
        .with("stream", m_partition.stream.value())
        .with("position", m_position.value())
        .with("end", end.value());
    if (m_options.keyed) {
        m_needSnapshot = true;
        m_position = end;
    }
    m_listener.onFailure();
}

// Skips records that a concurrent read has already delivered.
void stream_follower::deliver(stream_position from, const read_reply &reply, time_point sentAt)
{
    for (std::size_t i = 0; i < reply.records.size(); ++i) {
        const stream_position position(from.value() + i);
        if (position != m_position)
            continue;
        m_position = stream_position(position.value() + 1);
        m_listener.onRecord(reply.records[i], sentAt);
    }
    if (m_position < reply.end)
        return;
    m_completeAt = m_completeAt ? std::max(*m_completeAt, sentAt) : sentAt;
    m_listener.onComplete(sentAt);
}

} // namespace tamarack
