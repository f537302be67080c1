// Tests of the choice among the groups of a split route by what their upstreams take.
#include <tamarackglade/placement/group_selection.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
const group_id Small("small");
const group_id Large("large");
const std::vector<weighted_group> Split{{Small, 10}, {Large, 90}};
constexpr int Requests = 1'000;

live_upstream upstreamOf(const group_id &group, const std::string &id)
{
    live_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.incarnation = incarnation_number(1);
    upstream.group = group;
    upstream.address = "10.0.0.1:80";
    upstream.version = software_version("v1");
    upstream.slots = 8;
    return upstream;
}

/// One upstream in the small group, two in the large one.
struct split_fleet
{
    split_fleet()
    {
        directory.put(upstreamOf(Small, "s"));
        directory.put(upstreamOf(Large, "l1"));
        directory.put(upstreamOf(Large, "l2"));
    }

    void fail(const upstream_id &id, attempt_fault fault, int times, time_point now)
    {
        for (int i = 0; i < times; ++i) {
            allocator.acquire(id, work_class::Online, now);
            allocator.onFault(id, fault, now);
            allocator.release(id, work_class::Online);
        }
    }

    int countSmall(time_point now, const std::set<upstream_id> &tried = {}) const
    {
        int count = 0;
        for (int i = 0; i < Requests; ++i) {
            const request_id id("r" + std::to_string(i));
            count += selectGroup(Split, id, allocator, tried, now) == Small ? 1 : 0;
        }
        return count;
    }

    upstream_directory directory{directory_options()};
    peer_table peers{gateway_member(), shared_rate_options()};
    upstream_rates rates{vm_id("g"), peers};
    slot_allocator allocator{directory, rates, placement_options(), 1};
    const upstream_id small{"s"};
};

} // namespace

TEST_CASE("a group of which each upstream fails all it gets is passed over, record or not")
{
    for (const attempt_fault fault : {attempt_fault::Unreachable, attempt_fault::Silent,
                                      attempt_fault::Broken, attempt_fault::Failed}) {
        split_fleet fleet;
        const int byWeight = fleet.countSmall(Start);
        CHECK(byWeight > Requests / 20);
        CHECK(byWeight < Requests / 5);
        fleet.fail(fleet.small, fault, 2, Start);
        CHECK(fleet.countSmall(Start) == 0);
    }
    split_fleet refusing;
    refusing.fail(refusing.small, attempt_fault::Refused, 3, Start);
    CHECK(refusing.countSmall(Start) > 0);
    refusing.fail(refusing.small, attempt_fault::Refused, 20, Start);
    CHECK(refusing.countSmall(Start) == 0);
}

TEST_CASE("one request tries a group that failed, and the others pass it over until it answers")
{
    split_fleet fleet;
    const int byWeight = fleet.countSmall(Start);
    fleet.fail(fleet.small, attempt_fault::Failed, 2, Start);
    time_point now = Start;
    duration lastPause{};
    for (int round = 0; round < 4; ++round) {
        const time_point failedAt = now;
        while (fleet.countSmall(now) == 0)
            now += 50ms;
        CHECK(now - failedAt > lastPause);
        lastPause = now - failedAt;
        fleet.allocator.acquire(fleet.small, work_class::Online, now);
        CHECK(fleet.countSmall(now) == 0);
        now += 300ms;
        CHECK(fleet.countSmall(now) == 0);
        fleet.allocator.onFault(fleet.small, attempt_fault::Silent, now);
        fleet.allocator.release(fleet.small, work_class::Online);
    }
    while (fleet.countSmall(now) == 0)
        now += 50ms;
    fleet.allocator.acquire(fleet.small, work_class::Online, now);
    fleet.allocator.onAnswer(fleet.small);
    CHECK(fleet.countSmall(now) == byWeight);
}

TEST_CASE("many requests that fail at the same time don't lengthen the pause of a group")
{
    split_fleet fleet;
    fleet.fail(fleet.small, attempt_fault::Broken, 50, Start);
    time_point now = Start;
    while (fleet.countSmall(now) == 0)
        now += 50ms;
    CHECK(now - Start <= failure_options().maxEjection);
}

TEST_CASE("a request isn't sent to a group of which it has tried each upstream")
{
    split_fleet fleet;
    CHECK(fleet.countSmall(Start, {fleet.small}) == 0);
    CHECK(fleet.countSmall(Start, {upstream_id("l1")}) < Requests / 2);
    CHECK(fleet.countSmall(Start, {upstream_id("l1"), upstream_id("l2")}) == Requests);
}

TEST_CASE("if no group takes work the weights decide among those with upstreams")
{
    split_fleet fleet;
    const int byWeight = fleet.countSmall(Start);
    for (const char *id : {"s", "l1", "l2"})
        fleet.fail(upstream_id(id), attempt_fault::Unreachable, 3, Start);
    CHECK(fleet.countSmall(Start) == byWeight);
    fleet.directory.remove(fleet.small, Start);
    CHECK(fleet.countSmall(Start) == 0);
}

TEST_CASE("only upstreams of the version that began a text count for whether it can go on")
{
    split_fleet fleet;
    live_upstream newer = upstreamOf(Small, "s2");
    newer.version = software_version("v2");
    fleet.directory.put(newer);
    fleet.fail(fleet.small, attempt_fault::Unreachable, 2, Start);
    CHECK(fleet.allocator.isFailing(Small, software_version("v1"), Start));
    CHECK_FALSE(fleet.allocator.isFailing(Small, software_version("v2"), Start));
    CHECK(fleet.allocator.takesWork(Small, {}, Start));
}
