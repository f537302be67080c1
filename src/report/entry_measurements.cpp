// Measures the routing, selection of sides, VM lists and key checks of an entry.
#include <tamarackglade/keys/key_format.hpp>
#include <tamarackglade/keys/key_table.hpp>
#include <tamarackglade/membership/membership_view.hpp>
#include <tamarackglade/membership/select_sides.hpp>
#include <tamarackglade/membership/vm_list.hpp>
#include <tamarackglade/report/capacity_measurements.hpp>
#include <tamarackglade/report/frame_size.hpp>
#include <tamarackglade/routing/router.hpp>

#include <cassert>
#include <cstdlib>

namespace tamarack {

namespace {

using namespace std::chrono_literals;

constexpr int Calls = 1000;
constexpr int Checks = 20'000;
constexpr std::size_t Groups = 16;
constexpr std::size_t Zones = 3;
constexpr std::size_t KeepalivesPerSecond = 2; // on an idle connection
constexpr time_point Start{1h};
constexpr time_point Later = Start + 1min; // after the slow start
constexpr double NsPerUs = 1e3;

group_id groupOf(std::size_t index, std::size_t groups)
{
    return group_id("group-" + std::to_string(index % groups));
}

/// @return microseconds of one choice, including the events of its start and end
double chooseCost(std::size_t upstreams, std::size_t groups, const measurement_hooks &hooks)
{
    router routes({}, std::mt19937_64(1));
    std::vector<upstream_info> infos;
    for (std::size_t i = 0; i < upstreams; ++i)
        infos.push_back({upstream_id("upstream-" + std::to_string(i)),
                         groupOf(i, groups),
                         zone_id("zone-" + std::to_string(i % Zones)),
                         {"model"}});
    routes.setUpstreams(infos);
    for (const auto &info : infos)
        routes.onConnected(info.id, Start);
    route_query query{groupOf(0, groups), model_id("model"), schema::call_class::Online, 0, {}};
    const duration start = hooks.clock();
    for (int i = 1; i <= Calls; ++i) {
        query.prefixHash = static_cast<std::uint64_t>(i) * 0x9E3779B97F4A7C15ULL;
        const auto chosen = routes.choose(query, Later);
        assert(chosen);
        routes.onAttemptStarted(*chosen, Later);
        routes.onAttemptEnded(*chosen, attempt_result::Succeeded, Later);
    }
    return static_cast<double>((hooks.clock() - start).count()) / Calls / NsPerUs;
}

capacity_table chooseByUpstreams(const measurement_hooks &hooks)
{
    capacity_table table{"routing-choose",
                         "entry",
                         "one choice with its start and end, prefix affinity",
                         {"upstreams", "all in one group, us", "in 16 groups, us"},
                         {}};
    for (const std::size_t upstreams : {16U, 50U, 256U, 810U})
        table.rows.push_back({double(upstreams), chooseCost(upstreams, 1, hooks),
                              chooseCost(upstreams, Groups, hooks)});
    return table;
}

capacity_table selectBySides(const measurement_hooks &hooks)
{
    capacity_table table{"membership-select",
                         "membership",
                         "choice of sides, 16 groups, 3 zones",
                         {"sides", "one choice, us", "connections of an entry",
                          "their keepalives when idle, B/s sent"},
                         {}};
    constexpr int Choices = 20;
    const std::size_t keepalive = frameSize(schema::keepalive_message{});
    for (const std::size_t count : {50U, 100U, 200U, 400U, 810U}) {
        std::vector<listed_vm> sides(count);
        for (std::size_t i = 0; i < count; ++i) {
            sides[i].vm = vm_id("side-" + std::to_string(i));
            sides[i].role = vm_role::Side;
            sides[i].group = groupOf(i, Groups);
            sides[i].zone = zone_id("zone-" + std::to_string(i / Groups % Zones));
        }
        std::size_t chosen = 0;
        const duration start = hooks.clock();
        for (int i = 0; i < Choices; ++i)
            chosen = selectSides(vm_id("entry-1"), zone_id("zone-1"), sides, {}).size();
        const double each = static_cast<double>((hooks.clock() - start).count()) / Choices;
        table.rows.push_back({double(count), each / NsPerUs, double(chosen),
                              double(chosen * KeepalivesPerSecond * keepalive)});
    }
    return table;
}

std::string listText(std::size_t vms)
{
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t i = 0; i < vms; ++i) {
        const std::string number = std::to_string(i);
        list.push_back({{"vm", "side-" + number},
                        {"incarnation", 1'800'000'000 + i},
                        {"role", "side"},
                        {"group", "permit-engines"},
                        {"zone", "wa-south-1"},
                        {"region", "wa-south"},
                        {"address", "10.20." + std::to_string(i / 250) + "." + number + ":7001"},
                        {"state", "live"}});
    }
    return list.dump();
}

capacity_table listByVms(const measurement_hooks &hooks)
{
    capacity_table table{"membership-list",
                         "membership",
                         "one reading of the VM list, parsed and merged",
                         {"VMs", "bytes", "processor ms"},
                         {}};
    constexpr int Readings = 5;
    for (const std::size_t vms : {25U, 100U, 400U, 1210U}) {
        const std::string text = listText(vms);
        membership_view view;
        const duration start = hooks.clock();
        for (int i = 0; i < Readings; ++i)
            view.onList(*parseVmList(text));
        const double each = static_cast<double>((hooks.clock() - start).count()) / Readings;
        table.rows.push_back({double(vms), double(text.size()), each / NsPerUs / 1e3});
    }
    return table;
}

std::string keyText(std::size_t index)
{
    const std::string number = std::to_string(index);
    return "tg_" + std::string(KeyIdLength - number.size(), 'a') + number + "_"
           + std::string(KeySecretLength, 's');
}

capacity_table checkByKeys(const measurement_hooks &hooks)
{
    capacity_table table{
        "keys-check", "entry", "keys in force", {"keys", "one check, us", "heap bytes"}, {}};
    hashKey(keyText(0)); // keeps one-time allocations of the library out of the heap figure
    for (const std::size_t count : {100U, 1000U, 4600U, 9200U}) {
        const std::size_t before = hooks.heapBytes();
        key_table keys;
        for (std::size_t i = 0; i < count; ++i)
            keys.issue(*parseKeyId(keyText(i)),
                       {customer_id("customer-" + std::to_string(i / 2)), hashKey(keyText(i))});
        const double heap = double(hooks.heapBytes() - before);
        std::vector<std::string> presented;
        for (std::size_t i = 0; i < count; ++i)
            presented.push_back(keyText(i));
        const duration start = hooks.clock();
        for (int i = 0; i < Checks; ++i) {
            const auto result = keys.check(presented[static_cast<std::size_t>(i) * 7919 % count]);
            if (!std::holds_alternative<accepted_key>(result))
                std::abort(); // every presented key was issued
        }
        const double each = static_cast<double>((hooks.clock() - start).count()) / Checks;
        table.rows.push_back({double(count), each / NsPerUs, heap});
    }
    return table;
}

} // namespace

std::vector<capacity_measurement> entryMeasurements()
{
    return {{"routing-choose", chooseByUpstreams},
            {"membership-list", listByVms},
            {"membership-select", selectBySides},
            {"keys-check", checkByKeys}};
}

} // namespace tamarack
