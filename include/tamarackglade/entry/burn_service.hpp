// Counts an entry's requests for the burn report and appends the counts to the log.
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

/// @brief One append an interval with all that is due, none if nothing was counted. Counting is
/// thread-safe; start and flush belong to the control thread. All references must outlive it.
///
/// While the log is down, intervals wait here; a lost VM loses them and the interval under way.
class burn_service
{
public:
    burn_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                 const peer_identity &self, std::chrono::milliseconds interval);

    /// @brief Begins to append.
    void start();

    /// @brief Counts an ended request.
    void onEvent(const config_state &config, const burn_event &event);
    /// @brief Counts a verdict of the rate limit.
    void onAdmission(const config_state &config, const customer_id &customer, bool admitted);

    /// @brief Appends all that was counted; for a planned stop. Waits for the append.
    void flush();

private:
    /// Counts of some of the customers.
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
    std::uint64_t m_startS; // of the interval under way
    std::uint64_t m_sequence = 0; // of the last closed interval
    bool m_appending = false;
    std::deque<schema::burn_counts_message> m_pending; // closed, not known to be in the log
};

} // namespace tamarack
