// The list of all measurements, and the tables of the configuration and of batch jobs.
#include <tamarackglade/report/capacity_measurements.hpp>
#include <tamarackglade/report/config_measurement.hpp>

#include <iterator>

namespace tamarack {

namespace {

constexpr std::size_t AnswerBytes = 600;
constexpr duration AppendTime = std::chrono::milliseconds(20);
constexpr std::size_t ManifestNodes = 10;

capacity_table configByNodes(const measurement_hooks & /*hooks*/)
{
    capacity_table table{"config-nodes",
                         "configuration spread",
                         "8 customers, none cut from the log; bytes are mean per node",
                         {"nodes", "idle B/s", "messages a key change", "bytes a key change",
                          "key known by all, s", "manifest in force at all, s"},
                         {}};
    for (const std::size_t nodes : {10, 50, 100, 200, 400}) {
        const config_spread_cost cost = measureConfigSpread(nodes, 0, 8);
        table.rows.push_back({static_cast<double>(nodes), cost.idleBytesPerSecond, cost.keyMessages,
                              cost.keyBytes, toSeconds(cost.keyPropagationTime),
                              toSeconds(cost.manifestPropagationTime)});
    }
    return table;
}

capacity_table configByCustomers(const measurement_hooks & /*hooks*/)
{
    capacity_table table{
        "config-customers",
        "configuration spread",
        "10 nodes, one of them cut from the log",
        {"customers", "manifest bytes", "from the log, bytes", "in force at all, s"},
        {}};
    for (const std::size_t customers : {100, 1000, 4600}) {
        const config_spread_cost cost = measureConfigSpread(ManifestNodes, 10, customers);
        table.rows.push_back({static_cast<double>(customers),
                              static_cast<double>(cost.manifestBytes), cost.manifestLogBytes,
                              toSeconds(cost.manifestPropagationTime)});
    }
    return table;
}

capacity_table jobsByItems(const measurement_hooks &hooks)
{
    capacity_table table{"jobs-items",
                         "partition owner",
                         "one job, answers of 600 bytes; log bytes are beside the answers",
                         {"items", "fold, ms", "fold, heap bytes", "owner, ms",
                          "results, log bytes", "input, log bytes", "snapshot bytes"},
                         {}};
    constexpr double NsPerMs = 1e6;
    for (const std::uint32_t items : {1'000U, 10'000U, 50'000U, 150'000U}) {
        const job_cost cost = measureJob(items, AnswerBytes, hooks);
        const double count = items;
        table.rows.push_back(
            {count, count * cost.foldNsPerResult / NsPerMs, count * cost.foldHeapBytesPerItem,
             count * cost.ownerNsPerItem / NsPerMs, count * cost.logBytesPerItem,
             count * cost.inputLogBytesPerItem, count * cost.snapshotBytesPerItem});
    }
    return table;
}

capacity_table commitByRate(const measurement_hooks & /*hooks*/)
{
    capacity_table table{"jobs-commit",
                         "partition owner",
                         "one partition, answers of 600 bytes, 20 ms until an append is folded",
                         {"items/s", "appends/s", "items in the largest batch"},
                         {}};
    for (const std::uint32_t rate : {1U, 2U, 5U, 10U, 40U, 100U, 640U, 10'000U}) {
        const group_commit_cost cost = measureCommit(rate, AnswerBytes, AppendTime);
        table.rows.push_back(
            {static_cast<double>(rate), cost.appendsPerSecond, cost.largestBatchItems});
    }
    return table;
}

} // namespace

std::vector<capacity_measurement> configMeasurements()
{
    return {{"config-nodes", configByNodes}, {"config-customers", configByCustomers}};
}

std::vector<capacity_measurement> jobsMeasurements()
{
    return {{"jobs-items", jobsByItems}, {"jobs-commit", commitByRate}};
}

std::vector<capacity_measurement> capacityMeasurements()
{
    std::vector<capacity_measurement> all;
    for (auto group : {configMeasurements(), limitsMeasurements(), jobsMeasurements(),
                       entryMeasurements(), sideMeasurements()})
        all.insert(all.end(), std::make_move_iterator(group.begin()),
                   std::make_move_iterator(group.end()));
    return all;
}

} // namespace tamarack
