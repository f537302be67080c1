// Counts an entry's requests for the burn-rate report and appends the counts to the log.
#pragma once

#include <tamarackglade/config/config_state.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/report/burn_counter.hpp>
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/schema/records.hpp>
#include <tamarackglade/wire/peer_identity.hpp>

#include <array>
#include <deque>
#include <memory>
#include <mutex>

namespace tamarack {

/// @brief Appends all pending counts to the log once per interval, and nothing if there are none.
/// Counting is thread-safe; start and flush are called on the control thread. All references must
/// outlive the thread.
///
/// While the log is unavailable, closed intervals are kept in memory. If the VM fails, they and the
/// current interval are lost.
class burn_service
{
public:
    burn_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                 const peer_identity &self, std::chrono::milliseconds interval);

    /// @brief Starts the periodic appends.
    void start();

    /// @brief Counts an ended request.
    void onEvent(const config_state &config, const burn_event &event);
    /// @brief Counts a decision of the rate limit.
    void onAdmission(const config_state &config, const customer_id &customer, bool admitted);

    /// @brief Closes the interval and appends all pending counts. Waits for the append; returns at
    /// once if another append is running.
    void flush();

private:
    /// @brief Counts of a subset of the customers, to reduce lock contention.
    struct shard
    {
        std::mutex mutex; // guards counter
        burn_counter counter;
    };
    static constexpr std::size_t ShardCount = 16;

    shard &shardOf(const customer_id &customer);
    burn_interval takeAll();
    void closeInterval();
    bool appendPending();

    io_thread &m_thread;
    platform_client &m_platform;
    metric_registry &m_metrics;
    const peer_identity m_self;
    const std::chrono::milliseconds m_interval;
    std::array<shard, ShardCount> m_shards;
    std::uint64_t m_startS; // of the current interval, seconds of the wall clock
    std::uint64_t m_sequence = 0; // of the last closed interval
    bool m_appending = false;
    // Closed intervals whose append is not confirmed.
    std::deque<schema::burn_counts_message> m_pending;
};

} // namespace tamarack
