// Sharded metrics.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

constexpr int LatencyBuckets = 48;
constexpr double LeastSeconds = 0.0001;
constexpr double MostSeconds = 100;

} // namespace

void metric_registry::add(const std::string &series, double amount)
{
    shard &home = shardOf(series);
    const std::lock_guard lock(home.mutex);
    home.values[series] += amount;
}

void metric_registry::set(const std::string &series, double value)
{
    shard &home = shardOf(series);
    const std::lock_guard lock(home.mutex);
    home.values[series] = value;
}

void metric_registry::observeSeconds(const std::string &name, const std::string &labels,
                                     double seconds)
{
    shard &home = shardOf(name);
    const std::lock_guard lock(home.mutex);
    auto found = home.latencies.find({name, labels});
    if (found == home.latencies.end()) {
        latency_series series{
            boost::histogram::make_histogram(log_axis(LatencyBuckets, LeastSeconds, MostSeconds)),
            0, 0};
        found = home.latencies.emplace(std::pair(name, labels), std::move(series)).first;
    }
    found->second.histogram(seconds);
    found->second.sum += seconds;
    ++found->second.count;
}

double metric_registry::value(const std::string &series) const
{
    const shard &home = shardOf(series);
    const std::lock_guard lock(home.mutex);
    const auto found = home.values.find(series);
    return found == home.values.end() ? 0 : found->second;
}

std::string metric_registry::prometheusText() const
{
    std::string text;
    for (const shard &part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto &[series, value] : part.values)
            absl::StrAppend(&text, series, " ", value, "\n");
        for (const auto &[key, series] : part.latencies)
            appendLatency(key.first, key.second, series, text);
    }
    return text;
}

void metric_registry::appendLatency(const std::string &name, const std::string &labels,
                                    const latency_series &series, std::string &text)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    // The underflow bucket counts towards every bound.
    double cumulative = series.histogram.at(-1);
    for (const auto &&bucket : boost::histogram::indexed(series.histogram)) {
        cumulative += *bucket;
        absl::StrAppend(&text, name, "_bucket{", prefix, "le=\"", bucket.bin().upper(), "\"} ",
                        cumulative, "\n");
    }
    absl::StrAppend(&text, name, "_bucket{", prefix, "le=\"+Inf\"} ", series.count, "\n");
    const std::string braced = labels.empty() ? "" : absl::StrCat("{", labels, "}");
    absl::StrAppend(&text, name, "_sum", braced, " ", series.sum, "\n", name, "_count", braced, " ",
                    series.count, "\n");
}

metric_registry::shard &metric_registry::shardOf(const std::string &name)
{
    return m_shards[stableHash(name) % ShardCount];
}

const metric_registry::shard &metric_registry::shardOf(const std::string &name) const
{
    return m_shards[stableHash(name) % ShardCount];
}

} // namespace tamarack
