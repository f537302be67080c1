// Measures how withdrawn keys and manifests spread in a virtual fleet.
#include <tamarackglade/ini/text.hpp>
#include <tamarackglade/report/config_measurement.hpp>
#include <tamarackglade/report/virtual_config_fleet.hpp>

#include <algorithm>
#include <cstdio>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr duration SettleTime = 15s;
constexpr duration IdleTime = 60s;
constexpr duration Step = 20ms; // resolution of the measured times
constexpr duration MaxWait = 120s;
constexpr int Changes = 3; // key withdrawals, and as many manifests

template <class Message>
std::string payloadOf(const std::string &recordId, Message message)
{
    schema::log_batch_message batch;
    batch.record_id = recordId;
    addRecord(batch, std::move(message));
    return encodeBatch(batch);
}

std::string manifestText(std::size_t customers, int version)
{
    std::string text = concat("; version ", version, "\n[fleet]\nname = slopes\n");
    for (std::size_t i = 0; i < customers; ++i) {
        text += concat("[customer customer-", i, "]\nrate-per-second = 12\nburst = 24\n",
                       "weight = 2\nbatch = yes\nmax-open-jobs = 8\n");
    }
    return text;
}

class spread_measurement
{
public:
    spread_measurement(std::size_t nodes, std::size_t cutPercent, std::size_t customers)
        : m_fleet(optionsOf(nodes)), m_nodesWithLog(nodes - nodes * cutPercent / 100)
    {
        m_cost.nodes = nodes;
        m_cost.cutPercent = cutPercent;
        m_cost.customers = customers;
    }

    config_spread_cost measure()
    {
        start();
        measureIdle();
        for (int i = 0; i < Changes; ++i) {
            measureKey(i);
            m_fleet.advance(SettleTime);
            measureManifest(i);
            m_fleet.advance(SettleTime);
        }
        return m_cost;
    }

private:
    static config_fleet_options optionsOf(std::size_t nodes)
    {
        config_fleet_options options;
        options.nodes = nodes;
        options.seed = nodes;
        return options;
    }

    void start()
    {
        publish(0);
        for (std::size_t node = 0; node < m_fleet.size(); ++node)
            m_fleet.start(node);
        m_fleet.advance(SettleTime);
        for (std::size_t node = m_nodesWithLog; node < m_fleet.size(); ++node)
            m_fleet.cutLog(node, true);
        m_fleet.advance(SettleTime);
    }

    void measureIdle()
    {
        m_fleet.resetTraffic();
        m_fleet.advance(IdleTime);
        m_cost.idleBytesPerSecond = meanBytes() / toSeconds(IdleTime);
    }

    void measureKey(int index)
    {
        schema::key_withdrawn_message message;
        message.key_id = concat("key-", index);
        m_fleet.resetTraffic();
        m_fleet.append(payloadOf(message.key_id, message));
        const duration elapsed = waitForAll();
        m_cost.keyPropagationTime = std::max(m_cost.keyPropagationTime, elapsed);
        m_cost.keyMessages += meanMessages() / Changes;
        m_cost.keyBytes += meanBytes() / Changes;
    }

    void measureManifest(int index)
    {
        m_fleet.resetTraffic();
        publish(index + 1);
        const duration elapsed = waitForAll();
        m_cost.manifestPropagationTime = std::max(m_cost.manifestPropagationTime, elapsed);
        m_cost.manifestPeerBytes += meanBytes() / Changes;
        m_cost.manifestLogBytes += meanLogBytes() / Changes;
    }

    void publish(int version)
    {
        schema::manifest_published_message message;
        message.base_offset = m_manifestOffset.value();
        message.text = manifestText(m_cost.customers, version);
        m_cost.manifestBytes = message.text.size();
        m_manifestOffset = m_fleet.append(payloadOf(concat("manifest-", version), message));
    }

    duration waitForAll()
    {
        const time_point start = m_fleet.now();
        while (!allNodesHave(log_offset(m_fleet.log().size())) && m_fleet.now() - start < MaxWait)
            m_fleet.advance(Step);
        return m_fleet.now() - start;
    }

    [[nodiscard]] bool allNodesHave(log_offset offset) const
    {
        for (std::size_t node = 0; node < m_fleet.size(); ++node) {
            if (m_fleet.spread(node).fold().offset() < offset)
                return false;
        }
        return true;
    }

    [[nodiscard]] double meanBytes() const
    {
        double sum = 0;
        for (std::size_t node = 0; node < m_fleet.size(); ++node)
            sum += static_cast<double>(m_fleet.traffic(node).bytes);
        return sum / static_cast<double>(m_fleet.size());
    }

    [[nodiscard]] double meanMessages() const
    {
        double sum = 0;
        for (std::size_t node = 0; node < m_fleet.size(); ++node)
            sum += static_cast<double>(m_fleet.traffic(node).messages);
        return sum / static_cast<double>(m_fleet.size());
    }

    [[nodiscard]] double meanLogBytes() const
    {
        double sum = 0;
        for (std::size_t node = 0; node < m_nodesWithLog; ++node)
            sum += static_cast<double>(m_fleet.traffic(node).logBytes);
        return sum / static_cast<double>(m_nodesWithLog);
    }

    virtual_config_fleet m_fleet;
    std::size_t m_nodesWithLog; // nodes with an index below this reach the log
    log_offset m_manifestOffset;
    config_spread_cost m_cost;
};

} // namespace

config_spread_cost measureConfigSpread(std::size_t nodes, std::size_t cutPercent,
                                       std::size_t customers)
{
    return spread_measurement(nodes, cutPercent, customers).measure();
}

std::string configSpreadCostTable(std::span<const config_spread_cost> costs)
{
    std::string table =
        "| nodes | cut from log | customers | manifest bytes | idle B/s | key known "
        "by all, s | messages | bytes | manifest in force at all, s | from peers, "
        "bytes | from log, bytes |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const config_spread_cost &cost : costs) {
        char row[256];
        std::snprintf(row, sizeof row,
                      "| %zu | %zu%% | %zu | %zu | %.0f | %.2f | %.1f | %.0f | %.2f | %.0f | "
                      "%.0f |\n",
                      cost.nodes, cost.cutPercent, cost.customers, cost.manifestBytes,
                      cost.idleBytesPerSecond, toSeconds(cost.keyPropagationTime), cost.keyMessages,
                      cost.keyBytes, toSeconds(cost.manifestPropagationTime),
                      cost.manifestPeerBytes, cost.manifestLogBytes);
        table += row;
    }
    return table;
}

} // namespace tamarack
