// Closes intervals of counts and appends them to the log.
#include <tamarackglade/entry/burn_service.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/report/burn_fold.hpp>
#include <tamarackglade/runtime/random_bytes.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <functional>

namespace tamarack {

namespace {

constexpr std::size_t MaxPendingIntervals = 120; // one hour of log outage at 30 s each

} // namespace

burn_service::burn_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                           const peer_identity &self, std::chrono::milliseconds interval)
    : m_thread(thread), m_platform(platform), m_metrics(metrics), m_self(self),
      m_interval(interval), m_startS(wallSeconds())
{
}

void burn_service::start()
{
    m_thread.spawn([this] {
        for (;;) {
            boost::this_fiber::sleep_for(m_interval);
            flush();
        }
    });
}

void burn_service::onEvent(const config_state &config, const burn_event &event)
{
    if (!config.inForce)
        return;
    shard &part = shardOf(event.customer);
    const std::lock_guard lock(part.mutex);
    part.counter.onEvent(*config.inForce, event);
}

void burn_service::onAdmission(const config_state &config, const customer_id &customer,
                               bool admitted)
{
    if (!config.inForce)
        return;
    const std::uint64_t nowS = wallSeconds();
    shard &part = shardOf(customer);
    const std::lock_guard lock(part.mutex);
    part.counter.onAdmission(*config.inForce, customer, admitted, nowS);
}

void burn_service::flush()
{
    closeInterval();
    if (m_appending || m_pending.empty())
        return;
    m_appending = true;
    if (!appendPending())
        log_event(log_level::Warning, "burn counts not stored")
            .with("intervals_waiting", m_pending.size());
    m_appending = false;
}

burn_service::shard &burn_service::shardOf(const customer_id &customer)
{
    return m_shards[std::hash<std::string>{}(customer.value()) % ShardCount];
}

burn_interval burn_service::takeAll()
{
    burn_interval all;
    for (shard &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        // Each customer is in one shard only.
        all.merge(part.counter.take());
    }
    return all;
}

void burn_service::closeInterval()
{
    const burn_interval interval = takeAll();
    const std::uint64_t nowS = wallSeconds();
    if (!interval.isEmpty()) {
        schema::burn_counts_message record;
        record.vm = m_self.vm.value();
        record.incarnation = m_self.incarnation.value();
        record.sequence = ++m_sequence;
        record.interval_start_s = m_startS;
        record.interval_s =
            static_cast<std::uint32_t>(std::max<std::uint64_t>(nowS, m_startS) - m_startS);
        record.counts_json = interval.toJson();
        m_pending.push_back(std::move(record));
    }
    m_startS = nowS;
    if (m_pending.size() <= MaxPendingIntervals)
        return;
    m_metrics.add("tamarack_burn_intervals_dropped_total");
    m_pending.pop_front();
}

// One append holds all pending intervals. After an append with an unknown outcome, the next one
// repeats its intervals; readers drop the duplicates by their sequence.
bool burn_service::appendPending()
{
    schema::log_batch_message batch;
    batch.record_id = randomId("burn_");
    for (const schema::burn_counts_message &record : m_pending)
        addRecord(batch, record);
    const std::uint64_t lastSequence = m_pending.back().sequence;
    m_metrics.add("tamarack_log_appends_total{stream=\"burn\"}");
    const auto stored = m_platform.append(std::string(BurnStream), encodeBatch(batch));
    if (!stored.ok())
        return false;
    std::erase_if(m_pending, [&](const schema::burn_counts_message &record) {
        return record.sequence <= lastSequence;
    });
    return true;
}

} // namespace tamarack
