// Tests of the upstream directory, the selection of upstreams and the slot queue.
#include <tamarackglade/placement/slot_queue.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
const group_id Engines("engines");

live_upstream upstreamNamed(const std::string &id, const std::string &zone = "a",
                            unsigned slots = 2)
{
    live_upstream upstream;
    upstream.id = upstream_id(id);
    upstream.incarnation = incarnation_number(1);
    upstream.group = Engines;
    upstream.address = "10.0.0.1:80";
    upstream.zone = zone_id(zone);
    upstream.slots = slots;
    return upstream;
}

placement_options optionsOf(unsigned batchReserve = 1)
{
    placement_options options;
    options.zone = zone_id("a");
    options.batchReserve = batchReserve;
    return options;
}

placement_request requestOf(work_class work)
{
    placement_request request;
    request.group = Engines;
    request.work = work;
    return request;
}

slot_request waitingFor(const std::string &customer, int priority, time_point latest)
{
    return {requestOf(work_class::Online), customer_id(customer), priority, latest};
}

struct allocator_fixture
{
    upstream_directory directory{directory_options()};
    peer_table peers{gateway_member(), shared_rate_options()};
    upstream_rates rates{peers};
    slot_allocator allocator{directory, rates, optionsOf(), 1};
    slot_queue queue{allocator};
};

} // namespace

TEST_CASE("the directory applies removals, snapshots and grace periods")
{
    upstream_directory directory(directory_options{2s, 1s});
    directory.put(upstreamNamed("one"));
    directory.put(upstreamNamed("two"));

    SUBCASE("an upstream is removed immediately while the store is available")
    {
        directory.remove(upstream_id("one"), Start);
        CHECK(directory.find(upstream_id("one")) == nullptr);
    }
    SUBCASE("records that expired together in an outage stay until the return grace is over")
    {
        directory.onStoreFailure(Start);
        directory.onStoreAnswer(Start + 5s);
        directory.remove(upstream_id("one"), Start + 5s);
        directory.remove(upstream_id("two"), Start + 5s);
        CHECK(directory.tick(Start + 6'900ms).empty());
        CHECK(directory.find(upstream_id("one")) != nullptr);
        directory.put(upstreamNamed("two"));
        CHECK(directory.tick(Start + 7s) == std::vector{upstream_id("one")});
        CHECK(directory.find(upstream_id("one")) == nullptr);
        CHECK(directory.find(upstream_id("two")) != nullptr);
    }
    SUBCASE("a single record removed after an outage stays for the removal grace only")
    {
        directory.put(upstreamNamed("three"));
        directory.onStoreFailure(Start);
        directory.onStoreAnswer(Start + 5s);
        directory.remove(upstream_id("one"), Start + 5'300ms);
        CHECK(directory.tick(Start + 6'200ms).empty());
        CHECK(directory.tick(Start + 6'300ms) == std::vector{upstream_id("one")});
    }
    SUBCASE("a leaving upstream has no grace period")
    {
        live_upstream leaving = upstreamNamed("one");
        leaving.leaving = true;
        directory.put(leaving);
        directory.onStoreFailure(Start);
        directory.remove(upstream_id("one"), Start);
        CHECK(directory.find(upstream_id("one")) == nullptr);
    }
    SUBCASE("a snapshot replaces all upstreams")
    {
        directory.replaceAll({upstreamNamed("two"), upstreamNamed("three")}, Start);
        CHECK(directory.find(upstream_id("one")) == nullptr);
        CHECK(directory.find(upstream_id("three")) != nullptr);
    }
}

TEST_CASE_FIXTURE(allocator_fixture, "an upstream receives no more requests than it has slots")
{
    directory.put(upstreamNamed("one"));
    const auto request = requestOf(work_class::Online);
    for (int i = 0; i < 2; ++i)
        allocator.acquire(*allocator.pick(request, Start), work_class::Online, Start);
    CHECK_FALSE(allocator.pick(request, Start));
    allocator.release(upstream_id("one"), work_class::Online);
    CHECK(allocator.pick(request, Start));
}

TEST_CASE_FIXTURE(allocator_fixture, "batch work leaves slots free for online work")
{
    directory.put(upstreamNamed("one"));
    allocator.acquire(upstream_id("one"), work_class::Batch, Start);
    CHECK_FALSE(allocator.pick(requestOf(work_class::Batch), Start));
    CHECK(allocator.pick(requestOf(work_class::Online), Start));
}

TEST_CASE_FIXTURE(allocator_fixture, "slots used by peers count until their reports expire")
{
    directory.put(upstreamNamed("one"));
    allocator.onPeerUse(vm_id("peer"), {{upstream_id("one"), slot_use{2, 0}}}, {}, Start);
    CHECK_FALSE(allocator.pick(requestOf(work_class::Online), Start + 900ms));
    CHECK(allocator.pick(requestOf(work_class::Online), Start + 1100ms));
}

TEST_CASE_FIXTURE(allocator_fixture,
                  "an upstream in another zone can be picked if it has more free slots")
{
    directory.put(upstreamNamed("near", "a", 8));
    directory.put(upstreamNamed("far", "b", 8));
    for (int i = 0; i < 3; ++i)
        allocator.acquire(upstream_id("near"), work_class::Online, Start);
    CHECK(allocator.pick(requestOf(work_class::Online), Start) == upstream_id("far"));
}

TEST_CASE_FIXTURE(allocator_fixture, "leaving, excluded and ejected upstreams are not picked")
{
    live_upstream leaving = upstreamNamed("one");
    leaving.leaving = true;
    directory.put(leaving);
    CHECK_FALSE(allocator.pick(requestOf(work_class::Online), Start));
    directory.put(upstreamNamed("two"));
    auto request = requestOf(work_class::Online);
    request.excluded.insert(upstream_id("two"));
    CHECK_FALSE(allocator.pick(request, Start));
    allocator.onFault(upstream_id("two"), attempt_fault::Silent, Start);
    CHECK_FALSE(allocator.pick(requestOf(work_class::Online), Start));
    CHECK(allocator.pick(requestOf(work_class::Online), Start + 500ms));
    allocator.onFault(upstream_id("two"), attempt_fault::Silent, Start + 500ms);
    CHECK_FALSE(allocator.pick(requestOf(work_class::Online), Start + 1'400ms));
    allocator.onSuccess(upstream_id("two"), Start + 1'400ms);
    CHECK(allocator.pick(requestOf(work_class::Online), Start + 1'400ms));
}

TEST_CASE_FIXTURE(allocator_fixture, "an upstream that fails immediately attracts no requests")
{
    // All slots of the failing upstream stay free, so by free slots alone it would always be
    // picked.
    directory.put(upstreamNamed("failing", "a", 8));
    directory.put(upstreamNamed("good", "a", 8));
    for (int i = 0; i < 3; ++i)
        allocator.acquire(upstream_id("good"), work_class::Online, Start);
    int failed = 0;
    for (int i = 0; i < 100; ++i) {
        const time_point now = Start + i * 20ms;
        const auto upstream = allocator.pick(requestOf(work_class::Online), now);
        REQUIRE(upstream);
        if (*upstream == upstream_id("failing")) {
            ++failed;
            allocator.onFault(*upstream, attempt_fault::Failed, now);
        }
    }
    CHECK(failed <= 4);
}

TEST_CASE_FIXTURE(allocator_fixture, "an upstream that fails some of its requests is avoided")
{
    directory.put(upstreamNamed("grey", "a", 8));
    directory.put(upstreamNamed("good", "a", 8));
    int unreliableCount = 0;
    for (int i = 0; i < 200; ++i) {
        const time_point now = Start + i * 25ms;
        const auto upstream = allocator.pick(requestOf(work_class::Online), now);
        REQUIRE(upstream);
        if (*upstream != upstream_id("grey")) {
            allocator.onSuccess(*upstream, now);
            continue;
        }
        ++unreliableCount;
        if (i % 5 < 2)
            allocator.onFault(*upstream, attempt_fault::Broken, now);
        else
            allocator.onSuccess(*upstream, now);
    }
    CHECK(unreliableCount <= 25);
    // The avoided upstream is still picked when the other one is full.
    for (int i = 0; i < 8; ++i)
        allocator.acquire(upstream_id("good"), work_class::Online, Start);
    CHECK(allocator.pick(requestOf(work_class::Online), Start + 10s) == upstream_id("grey"));
}

TEST_CASE_FIXTURE(allocator_fixture, "an upstream ejected by a peer is avoided but stays usable")
{
    directory.put(upstreamNamed("one", "a", 8));
    directory.put(upstreamNamed("two", "a", 8));
    allocator.onPeerUse(vm_id("peer"), {}, {upstream_id("one")}, Start);
    allocator.acquire(upstream_id("two"), work_class::Online, Start);
    CHECK(allocator.pick(requestOf(work_class::Online), Start) == upstream_id("two"));
    for (int i = 0; i < 7; ++i)
        allocator.acquire(upstream_id("two"), work_class::Online, Start);
    CHECK(allocator.pick(requestOf(work_class::Online), Start) == upstream_id("one"));
    CHECK(allocator.pick(requestOf(work_class::Batch), Start + 1s) == upstream_id("one"));
}

TEST_CASE_FIXTURE(allocator_fixture,
                  "a peer's report replaces its earlier one, and expired reports no longer count")
{
    directory.put(upstreamNamed("one", "a", 8));
    for (int i = 0; i < 5; ++i)
        allocator.onPeerUse(vm_id("peer"), {{upstream_id("one"), slot_use{2, 1}}}, {}, Start);
    allocator.onPeerUse(vm_id("other"), {{upstream_id("one"), slot_use{1, 0}}}, {}, Start + 500ms);
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start + 500ms) == 4);
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start + 1s) == 7);
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start + 1'500ms) == 8);
}

TEST_CASE_FIXTURE(allocator_fixture, "a request that can't start in time is refused immediately")
{
    directory.put(upstreamNamed("one", "a", 1));
    allocator.acquire(upstream_id("one"), work_class::Online, Start);
    for (int i = 0; i < 10; ++i)
        queue.onFinished(Start); // a rate of 20 slots per second
    REQUIRE(queue.enqueue(waitingFor("north", 0, Start + 240ms), Start));
    REQUIRE(queue.enqueue(waitingFor("north", 0, Start + 240ms), Start));
    REQUIRE(queue.enqueue(waitingFor("north", 0, Start + 240ms), Start));
    REQUIRE(queue.enqueue(waitingFor("north", 0, Start + 240ms), Start));
    CHECK_FALSE(queue.enqueue(waitingFor("north", 0, Start + 240ms), Start));
    CHECK(queue.expire(Start + 200ms).empty());
    CHECK(queue.expire(Start + 241ms).size() == 4);
    CHECK(queue.size() == 0);
}

TEST_CASE_FIXTURE(allocator_fixture,
                  "requests are granted by priority, then in turns over customers")
{
    directory.put(upstreamNamed("one", "a", 1));
    allocator.acquire(upstream_id("one"), work_class::Online, Start);
    const time_point late = Start + 60s;
    const auto noisy1 = queue.enqueueUnchecked(waitingFor("loud", 1, late));
    const auto noisy2 = queue.enqueueUnchecked(waitingFor("loud", 1, late));
    const auto quiet = queue.enqueueUnchecked(waitingFor("quiet", 1, late));
    const auto urgent = queue.enqueueUnchecked(waitingFor("urgent", 0, late));
    CHECK(queue.grant(Start).empty());
    std::vector<waiter_id> order;
    for (int i = 0; i < 4; ++i) {
        allocator.release(upstream_id("one"), work_class::Online);
        const auto granted = queue.grant(Start);
        REQUIRE(granted.size() == 1);
        order.push_back(granted.front().waiter);
    }
    CHECK(order == std::vector{urgent, noisy1, quiet, noisy2});
}

TEST_CASE_FIXTURE(allocator_fixture, "a new request acquires no slot while another one waits")
{
    directory.put(upstreamNamed("one", "a", 1));
    allocator.acquire(upstream_id("one"), work_class::Online, Start);
    const auto waiter = queue.enqueueUnchecked(waitingFor("north", 0, Start + 1s));
    allocator.release(upstream_id("one"), work_class::Online);
    CHECK_FALSE(queue.tryAcquire(requestOf(work_class::Online), Start));
    queue.remove(waiter);
    CHECK(queue.tryAcquire(requestOf(work_class::Online), Start));
}
