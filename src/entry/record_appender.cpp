// One fiber appends until no records are pending.
#include <tamarackglade/entry/record_appender.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <mutex>

namespace tamarack {

namespace {

constexpr std::size_t MaxBatchRecords = 64;
constexpr std::chrono::milliseconds FirstRetryInterval{10};
constexpr std::chrono::milliseconds MaxRetryInterval{1'000};

} // namespace

record_appender::record_appender(io_thread &thread, platform_client &platform,
                                 metric_registry &metrics, std::string stream,
                                 const std::string &seriesName)
    : m_thread(thread), m_platform(platform), m_metrics(metrics), m_stream(std::move(stream)),
      m_series(absl::StrCat("tamarack_log_appends_total{stream=\"", seriesName, "\"}"))
{
}

bool record_appender::waitUntilStored(std::uint64_t number, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [&] { return m_stored >= number; });
}

std::uint64_t record_appender::enqueue(record_pointer record)
{
    m_pending.push_back(std::move(record));
    if (!m_appending) {
        m_appending = true;
        m_thread.spawn([this] { appendLoop(); });
    }
    return ++m_added;
}

void record_appender::appendLoop()
{
    while (!m_pending.empty()) {
        const auto batch = takeBatch();
        appendUntilStored(encodeBatch(batch));
        m_stored += batch.records.size();
        m_changed.notify_all();
    }
    m_appending = false;
}

schema::log_batch_message record_appender::takeBatch()
{
    schema::log_batch_message batch;
    batch.record_id = randomId("calls_");
    batch.written_at_s = wallSeconds();
    while (!m_pending.empty() && batch.records.size() < MaxBatchRecords) {
        batch.records.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    return batch;
}

void record_appender::appendUntilStored(const std::string &payload)
{
    auto interval = FirstRetryInterval;
    for (;;) {
        m_metrics.add(m_series);
        if (m_platform.append(m_stream, payload).ok())
            return;
        boost::this_fiber::sleep_for(interval);
        interval = std::min(2 * interval, MaxRetryInterval);
    }
}

} // namespace tamarack
