// Measures the cost of the fleet-wide rate limits.
#include <tamarackglade/report/capacity_measurements.hpp>
#include <tamarackglade/report/virtual_limit_fleet.hpp>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

// A twentieth of the target's 400 entries and 2,800 requests/s, so that the requests of a
// customer are as sparse at each entry as in the target fleet.
constexpr std::size_t Entries = 20;
constexpr std::uint32_t Partitions = 20;
constexpr double Requests = 140; // per second
constexpr std::size_t Customers = 4600;
constexpr customer_rate Rate{12, 24};
constexpr duration SettleTime = 5s;
constexpr duration MeasuredTime = 5s;
constexpr double MsPerSecond = 1e3;

double perSecond(double count)
{
    return count / toSeconds(MeasuredTime);
}

double milliseconds(const limit_fleet_cost &cost)
{
    return perSecond(toSeconds(cost.processorTime) * MsPerSecond);
}

capacity_table byRequests(const measurement_hooks &hooks)
{
    capacity_table table{
        "limits-requests",
        "home of customers and its borrowers",
        "20 entries, 20 partitions, 4,600 customers used equally; sums over entries; "
        "processor time includes the virtual links",
        {"requests/s", "messages/s", "bytes/s", "processor ms/s", "refused/s"},
        {}};
    virtual_limit_fleet fleet(Entries, Partitions, hooks.clock);
    fleet.addCustomers(Customers, Rate);
    fleet.advance(SettleTime);
    for (const double requests : {0.0, Requests / 2, Requests, Requests * 2, Requests * 4}) {
        fleet.resetCost();
        fleet.advance(MeasuredTime, requests);
        const auto &cost = fleet.cost();
        table.rows.push_back({requests, perSecond(double(cost.messages)),
                              perSecond(double(cost.bytes)), milliseconds(cost),
                              perSecond(double(cost.refused))});
    }
    return table;
}

capacity_table byCustomers(const measurement_hooks &hooks)
{
    capacity_table table{
        "limits-customers",
        "home of customers",
        "20 entries, 20 partitions, 140 requests/s; heap is mean per entry; processor "
        "time includes the virtual links",
        {"customers", "heap bytes", "messages/s", "processor ms/s"},
        {}};
    for (const std::size_t customers : {100U, 1000U, 4600U}) {
        virtual_limit_fleet fleet(Entries, Partitions, hooks.clock);
        const std::size_t before = hooks.heapBytes();
        fleet.addCustomers(customers, Rate);
        fleet.advance(SettleTime);
        fleet.resetCost();
        fleet.advance(MeasuredTime, Requests);
        const double heap = double(hooks.heapBytes() - before) / double(Entries);
        const auto &cost = fleet.cost();
        table.rows.push_back(
            {double(customers), heap, perSecond(double(cost.messages)), milliseconds(cost)});
    }
    return table;
}

capacity_table pingsByPartitions(const measurement_hooks &hooks)
{
    capacity_table table{
        "limits-leases",
        "home and successor",
        "10 entries without requests; sums over entries; processor time includes "
        "the virtual links",
        {"partitions", "messages/s", "bytes/s", "processor ms/s", "claims at start"},
        {}};
    for (const std::uint32_t partitions : {16U, 50U, 100U, 200U, 400U}) {
        virtual_limit_fleet fleet(10, partitions, hooks.clock);
        fleet.advance(SettleTime);
        const auto claims = fleet.cost().appends;
        fleet.resetCost();
        fleet.advance(MeasuredTime);
        const auto &cost = fleet.cost();
        table.rows.push_back({double(partitions), perSecond(double(cost.messages)),
                              perSecond(double(cost.bytes)), milliseconds(cost), double(claims)});
    }
    return table;
}

/// @return processor milliseconds per second that an entry spends on watching the homes, if it is
/// neither home nor successor of any partition
double watchCost(std::uint32_t entries, std::uint32_t partitions, const measurement_hooks &hooks)
{
    limit_options options;
    options.partitions = partitions;
    time_point now(1h);
    fleet_limiter limiter(options, vm_id("entry-x"), incarnation_number(1), std::mt19937_64(1),
                          now);
    std::vector<live_entry> list{{vm_id("entry-x"), incarnation_number(1)}};
    for (std::uint32_t i = 0; i < entries; ++i)
        list.push_back({vm_id("entry-" + std::to_string(i)), incarnation_number(1)});
    limiter.onEntries(list, now);
    for (std::uint32_t i = 0; i < partitions; ++i) {
        schema::home_claimed_message claim;
        claim.partition = i;
        claim.epoch = 1;
        claim.vm = "entry-" + std::to_string(i % entries);
        claim.incarnation = 1;
        claim.successor = "entry-" + std::to_string((i + 1) % entries);
        claim.successor_incarnation = 1;
        limiter.onHomeRecord(log_offset(i + 1), claim, now);
    }
    const duration start = hooks.clock();
    for (const time_point end = now + 1s; now < end; now += 10ms)
        limiter.tick(now);
    return toSeconds(hooks.clock() - start) * MsPerSecond;
}

capacity_table watchByEntries(const measurement_hooks &hooks)
{
    capacity_table table{
        "limits-watch",
        "every entry",
        "the limiter of one entry that has no part in any partition",
        {"entries", "16 partitions, processor ms/s", "400 partitions, processor ms/s"},
        {}};
    for (const std::uint32_t entries : {10U, 50U, 100U, 200U, 400U})
        table.rows.push_back(
            {double(entries), watchCost(entries, 16, hooks), watchCost(entries, 400, hooks)});
    return table;
}

} // namespace

std::vector<capacity_measurement> limitsMeasurements()
{
    return {{"limits-requests", byRequests},
            {"limits-customers", byCustomers},
            {"limits-leases", pingsByPartitions},
            {"limits-watch", watchByEntries}};
}

} // namespace tamarack
