// The process's metrics and their Prometheus text.
#pragma once

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace tamarack {

/// @brief Counters, gauges and latency histograms by name and labels. Thread-safe: names hash to
/// shards, each under its own lock.
class metric_registry
{
public:
    /// @param series a metric's name with its labels, as Prometheus writes them
    void add(const std::string &series, double amount = 1);
    void set(const std::string &series, double value);
    /// @brief Adds a duration to a histogram with logarithmic buckets from 0.1 ms to 100 s.
    void observeSeconds(const std::string &name, const std::string &labels, double seconds);

    /// @return a counter's or gauge's value, or 0
    [[nodiscard]] double value(const std::string &series) const;
    /// @return all metrics in Prometheus' text format
    [[nodiscard]] std::string prometheusText() const;

private:
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(std::declval<log_axis>()));

    struct latency_series
    {
        latency_histogram histogram;
        double sum = 0; // seconds
        std::uint64_t count = 0;
    };
    struct shard
    {
        mutable std::mutex mutex; // guards the members below
        std::map<std::string, double> values;
        std::map<std::pair<std::string, std::string>, latency_series> latencies;
    };
    static constexpr std::size_t ShardCount = 16;

    shard &shardOf(const std::string &name);
    [[nodiscard]] const shard &shardOf(const std::string &name) const;
    static void appendLatency(const std::string &name, const std::string &labels,
                              const latency_series &series, std::string &text);

    std::array<shard, ShardCount> m_shards;
};

} // namespace tamarack
