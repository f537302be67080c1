// Tests of where gateways keep the version that began a stream, and how they find it.
#include <tamarackglade/resumption/origin_keepers.hpp>
#include <tamarackglade/resumption/origin_search.hpp>
#include <tamarackglade/resumption/origin_table.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
constexpr std::size_t Keepers = 3;
constexpr std::size_t MaxAsked = 8;

stream_key keyOf(std::uint64_t number)
{
    return streamKey(request_id("r" + std::to_string(number)), customer_id("c"));
}

stream_origin originOf(const std::string &version, time_point begunAt = Start)
{
    return {group_id("engines"), software_version(version), begunAt};
}

std::vector<gateway_member> membersNamed(std::size_t count)
{
    std::vector<gateway_member> members(count);
    for (std::size_t i = 0; i < count; ++i)
        members[i].vm = vm_id("gateway-" + std::to_string(i));
    return members;
}

/// Gateways with their tables, without a network.
class gateway_fleet
{
public:
    explicit gateway_fleet(std::size_t count) : m_members(membersNamed(count)) { }

    void begin(std::size_t at, stream_key stream, const stream_origin &origin)
    {
        m_tables[m_members[at].vm].put(stream, origin, Start);
        for (const auto &keeper : originKeepers(stream, othersOf(at), Keepers)) {
            if (!m_lost.contains(keeper.vm))
                m_tables[keeper.vm].put(stream, origin, Start);
        }
    }

    // The process starts again without its state.
    void restart(std::size_t at) { m_tables.erase(m_members[at].vm); }
    void lose(std::size_t at)
    {
        restart(at);
        m_lost.insert(m_members[at].vm);
    }

    std::optional<stream_origin> find(std::size_t at, stream_key stream)
    {
        if (auto own = m_tables[m_members[at].vm].find(stream, Start))
            return own;
        std::set<vm_id> asked;
        for (const auto &keeper : originKeepers(stream, othersOf(at), MaxAsked))
            asked.insert(keeper.vm);
        origin_search search(asked);
        for (const vm_id &vm : asked) {
            if (!m_lost.contains(vm))
                search.onAnswer(vm, m_tables[vm].find(stream, Start));
        }
        return search.origin();
    }

private:
    [[nodiscard]] std::vector<gateway_member> othersOf(std::size_t at) const
    {
        std::vector<gateway_member> others = m_members;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
        return others;
    }

    std::vector<gateway_member> m_members;
    std::map<vm_id, origin_table> m_tables;
    std::set<vm_id> m_lost;
};

} // namespace

TEST_CASE("an origin is kept for its lifetime")
{
    origin_table table(origin_table_options{10s, 100});
    table.put(keyOf(1), originOf("v1"), Start);
    CHECK(table.find(keyOf(1), Start + 10s)->version == software_version("v1"));
    CHECK_FALSE(table.find(keyOf(2), Start));
    CHECK_FALSE(table.find(keyOf(1), Start + 11s));
    CHECK(table.size() == 0);
}

TEST_CASE("of two origins of a stream that of the later first event counts")
{
    origin_table table;
    table.put(keyOf(1), originOf("v2", Start + 1s), Start + 2s);
    table.put(keyOf(1), originOf("v1", Start), Start + 2s);
    CHECK(table.find(keyOf(1), Start + 2s)->version == software_version("v2"));
    table.put(keyOf(1), originOf("v3", Start + 2s), Start + 2s);
    CHECK(table.find(keyOf(1), Start + 2s)->version == software_version("v3"));
}

TEST_CASE("the table is bounded under any number of streams")
{
    origin_table table(origin_table_options{1h, 100});
    for (std::uint64_t i = 0; i < 10'000; ++i)
        table.put(keyOf(i), originOf("v1"), Start);
    CHECK(table.size() == 100);
    CHECK_FALSE(table.find(keyOf(9'899), Start));
    CHECK(table.find(keyOf(9'900), Start));
}

TEST_CASE("streams of two customers with the same request id differ")
{
    const request_id request("r");
    CHECK(streamKey(request, customer_id("a")) != streamKey(request, customer_id("b")));
}

TEST_CASE("the keepers for a larger count begin with those for a smaller one")
{
    for (std::uint64_t i = 0; i < 50; ++i) {
        const auto few = originKeepers(keyOf(i), membersNamed(20), Keepers);
        const auto many = originKeepers(keyOf(i), membersNamed(20), MaxAsked);
        REQUIRE(few.size() == Keepers);
        CHECK(std::equal(few.begin(), few.end(), many.begin()));
    }
    CHECK(originKeepers(keyOf(1), membersNamed(2), Keepers).size() == 2);
    CHECK(originKeepers(keyOf(1), {}, Keepers).empty());
}

TEST_CASE("a search ends with the first origin or when all have answered")
{
    const vm_id a("a");
    const vm_id b("b");
    origin_search search({a, b});
    search.onAnswer(vm_id("other"), originOf("v9"));
    CHECK_FALSE(search.done());
    search.onAnswer(a, std::nullopt);
    CHECK_FALSE(search.done());
    search.onAnswer(a, originOf("v9"));
    CHECK_FALSE(search.done());
    SUBCASE("found")
    {
        search.onAnswer(b, originOf("v1"));
        CHECK(search.done());
        CHECK(search.origin()->version == software_version("v1"));
    }
    SUBCASE("unknown")
    {
        search.onAnswer(b, std::nullopt);
        CHECK(search.done());
        CHECK_FALSE(search.origin());
    }
    CHECK(origin_search({}).done());
}

TEST_CASE("an origin outlasts the gateway that began the stream and any two others")
{
    const bool held = rc::check("an origin outlasts three gateways", [] {
        const auto count = *rc::gen::inRange<std::size_t>(5, 40);
        gateway_fleet fleet(count);
        fleet.begin(0, keyOf(1), originOf("v1"));
        fleet.lose(0);
        const auto first = *rc::gen::inRange<std::size_t>(1, count);
        const auto second = *rc::gen::inRange<std::size_t>(1, count);
        const auto asker = *rc::gen::inRange<std::size_t>(1, count);
        fleet.restart(first);
        fleet.lose(second);
        RC_PRE(asker != second);
        const auto found = fleet.find(asker, keyOf(1));
        RC_ASSERT(found);
        RC_ASSERT(found->version == software_version("v1"));
    });
    CHECK(held);
}

TEST_CASE("most origins are found after 60 in 100 gateways are lost, and none is wrong")
{
    constexpr std::size_t Gateways = 20;
    constexpr std::uint64_t Streams = 2'000;
    gateway_fleet fleet(Gateways);
    for (std::uint64_t i = 0; i < Streams; ++i)
        fleet.begin(i % 12, keyOf(i), originOf(i % 3 == 0 ? "v1" : "v2"));
    for (std::size_t lost = 0; lost < 12; ++lost)
        fleet.lose(lost);
    std::uint64_t found = 0;
    for (std::uint64_t i = 0; i < Streams; ++i) {
        const auto origin = fleet.find(12 + i % 8, keyOf(i));
        if (!origin)
            continue;
        ++found;
        CHECK(origin->version.value() == (i % 3 == 0 ? "v1" : "v2"));
    }
    // All three keepers are lost with a probability of about 0.17 (11/19 x 10/18 x 9/17).
    CHECK(found > Streams * 3 / 4);
}
