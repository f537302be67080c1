// Tests of the VM list, its merge with direct messages, and the selection of sides.
#include <tamarackglade/membership/membership_view.hpp>
#include <tamarackglade/membership/select_sides.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace tamarack;

namespace {

const vm_id Side("side-1");

listed_vm sideVm(const std::string &name, std::uint64_t incarnation,
                 listed_state state = listed_state::Live)
{
    listed_vm vm;
    vm.vm = vm_id(name);
    vm.incarnation = incarnation_number(incarnation);
    vm.role = vm_role::Side;
    vm.group = group_id("permit-engines");
    vm.zone = zone_id("wa-south-1");
    vm.state = state;
    return vm;
}

// Returns sides that are assigned to the groups in turn, in three zones.
std::vector<listed_vm> manySides(int count, int groups)
{
    std::vector<listed_vm> sides;
    for (int i = 0; i < count; ++i) {
        sides.push_back(sideVm("side-" + std::to_string(i), 1));
        sides.back().group = group_id("group-" + std::to_string(i % groups));
        sides.back().zone = zone_id("zone-" + std::to_string(i / groups % 3));
    }
    return sides;
}

std::vector<std::set<vm_id>> selections(int entries, const std::vector<listed_vm> &sides)
{
    std::vector<std::set<vm_id>> all;
    for (int i = 0; i < entries; ++i) {
        std::set<vm_id> names;
        const zone_id zone("zone-" + std::to_string(i % 3));
        for (const listed_vm &side :
             selectSides(vm_id("entry-" + std::to_string(i)), zone, sides, subset_options{}))
            names.insert(side.vm);
        all.push_back(std::move(names));
    }
    return all;
}

} // namespace

TEST_CASE("parsing of the platform's VM list")
{
    const std::string good = R"([{"vm":"entry-1","incarnation":3,"role":"entry","zone":"wa-south-1",
        "region":"wa-south","address":"127.0.0.1:7001","state":"live","later":1},
        {"vm":"s","incarnation":1,"role":"service","group":"records","zone":"z","region":"r",
        "address":"127.0.0.1:7002","state":"leaving"}])";
    const auto list = parseVmList(good);
    REQUIRE(list.ok());
    CHECK(list->size() == 2);
    CHECK((*list)[0].incarnation == incarnation_number(3));
    CHECK((*list)[1].role == vm_role::Service);
    CHECK((*list)[1].state == listed_state::Leaving);

    CHECK(parseVmList("[]")->empty());
    for (const char *bad : {"", "{}", "[1]", "[{}]", "nonsense"})
        CHECK_FALSE(parseVmList(bad).ok());
    for (const auto &[from, to] :
         std::map<std::string, std::string>{{"\"entry\"", "\"boss\""},
                                            {"\"live\"", "\"dead\""},
                                            {":3", ":-3"},
                                            {":3", ":\"3\""},
                                            {"\"vm\":\"s\"", "\"vm\":\"entry-1\""},
                                            {"\"group\":\"records\",", ""},
                                            {"\"address\":\"127.0.0.1:7002\",", ""}}) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        CHECK_FALSE(parseVmList(text).ok());
    }
}

TEST_CASE("a leaving upstream accepts no work, however late the list is")
{
    for (const auto mutation : {membership_mutation::None, membership_mutation::ListOnly}) {
        membership_view view(mutation);
        view.onList({sideVm("side-1", 4)});
        CHECK(view.acceptsWork(Side));
        view.onLeaving(Side, incarnation_number(4));
        view.onList({sideVm("side-1", 4)}); // a list that is 30 s late, with the VM still live
        const bool kept = !view.acceptsWork(Side) && view.acceptingWork(vm_role::Side).empty();
        CHECK(kept == (mutation == membership_mutation::None));
    }
}

TEST_CASE("drained by an operator")
{
    membership_view view;
    view.onList({sideVm("side-1", 4), sideVm("side-2", 1)});
    view.onDrained(std::vector<drained_vm>{{Side, incarnation_number(4)}, {vm_id("side-2"), {}}});
    CHECK_FALSE(view.acceptsWork(Side));
    view.onHello(Side, incarnation_number(5)); // the next process is not drained
    CHECK(view.acceptsWork(Side));
    view.onHello(vm_id("side-2"), incarnation_number(2)); // drained permanently
    CHECK_FALSE(view.acceptsWork(vm_id("side-2")));
}

TEST_CASE("an older message never replaces a newer incarnation")
{
    for (const auto mutation : {membership_mutation::None, membership_mutation::ReviveOlder}) {
        membership_view view(mutation);
        view.onList({sideVm("side-1", 4)});
        view.onLeaving(Side, incarnation_number(4));
        CHECK(view.onHello(Side, incarnation_number(5)));
        view.onList({sideVm("side-1", 4, listed_state::Leaving)});
        const bool newestKept =
            view.newestIncarnation(Side) == incarnation_number(5) && view.acceptsWork(Side);
        CHECK(newestKept == (mutation == membership_mutation::None));
    }
    membership_view view;
    view.onHello(Side, incarnation_number(5));
    CHECK_FALSE(view.onHello(Side, incarnation_number(4)));
    CHECK(view.newestIncarnation(Side) == incarnation_number(5));
}

TEST_CASE("a process has ended only on proof")
{
    membership_view view;
    CHECK_FALSE(view.hasEnded(Side, incarnation_number(1)));
    view.onHello(Side, incarnation_number(1));
    view.onList({}); // lagging, so it does not contain the VM yet
    CHECK_FALSE(view.hasEnded(Side, incarnation_number(1)));
    view.onList({sideVm("side-1", 1)});
    CHECK_FALSE(view.hasEnded(Side, incarnation_number(1)));
    view.onList({});
    CHECK(view.hasEnded(Side, incarnation_number(1)));
    CHECK_FALSE(view.hasEnded(Side, incarnation_number(2)));
    view.onHello(Side, incarnation_number(2));
    CHECK(view.hasEnded(Side, incarnation_number(1)));
}

TEST_CASE("gossip targets")
{
    membership_view view;
    listed_vm service = sideVm("service-1", 1);
    service.role = vm_role::Service;
    view.onList({sideVm("side-1", 1, listed_state::Leaving), service});
    CHECK(view.processes() == std::vector<vm_id>{Side});
}

TEST_CASE("entries of a small fleet select all sides")
{
    const auto sides = manySides(12, 1);
    for (const auto &names : selections(4, sides))
        CHECK(names.size() == 12);
}

TEST_CASE("selection of sides with 400 entries and 810 sides in 16 groups")
{
    constexpr int Entries = 400;
    constexpr int Sides = 810;
    const auto sides = manySides(Sides, 16);
    const auto chosen = selections(Entries, sides);

    SUBCASE("covers each group and zone, and is balanced")
    {
        std::map<vm_id, int> perSide;
        std::map<vm_id, const listed_vm *> byName;
        for (const listed_vm &side : sides)
            byName[side.vm] = &side;
        for (const auto &names : chosen) {
            std::set<std::pair<group_id, zone_id>> covered;
            for (const vm_id &name : names) {
                covered.emplace(byName[name]->group, byName[name]->zone);
                ++perSide[name];
            }
            CHECK(names.size() == 256);
            CHECK(covered.size() == std::size_t(16 * 3));
        }
        const double mean = double(Entries) * 256 / Sides;
        int least = Entries;
        int most = 0;
        for (const listed_vm &side : sides) {
            least = std::min(least, perSide[side.vm]);
            most = std::max(most, perSide[side.vm]);
        }
        MESSAGE("entries per side: mean " << mean << ", least " << least << ", most " << most);
        CHECK(most < 1.4 * mean);
        CHECK(least > 0.6 * mean);
    }
    SUBCASE("changes at most one side per entry when a side is removed")
    {
        auto fewer = sides;
        fewer.erase(fewer.begin() + 17);
        const auto after = selections(Entries, fewer);
        int changed = 0;
        for (int i = 0; i < Entries; ++i) {
            std::vector<vm_id> added;
            std::set_difference(after[i].begin(), after[i].end(), chosen[i].begin(),
                                chosen[i].end(), std::back_inserter(added));
            CHECK(added.size() <= 1);
            const bool hadIt = chosen[i].contains(sides[17].vm);
            CHECK((hadIt || added.empty()));
            changed += static_cast<int>(added.size());
        }
        MESSAGE("connections opened in the fleet when one side is removed:  " << changed);
    }
}
