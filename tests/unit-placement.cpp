// Tests of the upstream directory, the selection of upstreams and the slot queue.
#include <tamarackglade/placement/slot_queue.hpp>
#include <tamarackglade/placement/yield_planner.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
    upstream_rates rates{vm_id("g"), peers};
    slot_allocator allocator{directory, rates, optionsOf(), 1};
    slot_queue queue{allocator};
};

} // namespace

TEST_CASE("records are current only if read recently and renewed since the store's return")
{
    upstream_directory directory(directory_options{2s, 1s, 3s});
    CHECK_FALSE(directory.isCurrent(Start));
    directory.confirm(Start);
    CHECK(directory.isCurrent(Start + 3s));
    CHECK_FALSE(directory.isCurrent(Start + 3'001ms));
    directory.confirm(Start - 1s);
    CHECK(directory.isCurrent(Start + 3s));
    directory.onStoreFailure(Start + 1s);
    CHECK_FALSE(directory.isCurrent(Start + 1s));
    directory.onStoreAnswer(Start + 4s);
    directory.confirm(Start + 4s);
    CHECK_FALSE(directory.isCurrent(Start + 5'999ms));
    CHECK(directory.isCurrent(Start + 6s));
}

TEST_CASE("the version of an upstream that states another start is unknown until its next record")
{
    upstream_directory directory{directory_options()};
    live_upstream upstream = upstreamNamed("one");
    upstream.incarnation = incarnation_number(1);
    upstream.version = software_version("v1");
    directory.put(upstream);
    CHECK_FALSE(directory.onStart(upstream_id("other"), incarnation_number(2)));
    CHECK_FALSE(directory.onStart(upstream.id, incarnation_number(1)));
    CHECK(directory.versionsOf(upstream.group).contains(upstream.version));
    CHECK(directory.onStart(upstream.id, incarnation_number(2)));
    CHECK_FALSE(directory.versionsOf(upstream.group).contains(upstream.version));
    CHECK_FALSE(directory.onStart(upstream.id, incarnation_number(2)));
    upstream.incarnation = incarnation_number(2);
    upstream.version = software_version("v2");
    CHECK(directory.put(upstream));
    CHECK(directory.versionsOf(upstream.group).contains(upstream.version));
}

TEST_CASE("a run has the version of a later record of the same start, if the records are current")
{
    upstream_directory directory(directory_options{2s, 1s, 3s});
    live_upstream sentTo = upstreamNamed("one");
    sentTo.version = software_version("v1");
    directory.put(sentTo);
    CHECK(directory.versionSince(sentTo, Start).value().empty());
    directory.confirm(Start);
    CHECK(directory.versionSince(sentTo, Start + 1s) == sentTo.version);
    CHECK(directory.versionSince(sentTo, Start + 4s).value().empty());
    live_upstream restarted = sentTo;
    restarted.incarnation = incarnation_number(2);
    directory.put(restarted);
    CHECK(directory.versionSince(sentTo, Start + 1s).value().empty());
    CHECK(directory.versionSince(restarted, Start + 1s) == sentTo.version);
    directory.onStart(restarted.id, incarnation_number(3));
    CHECK(directory.versionSince(restarted, Start + 1s).value().empty());
    directory.onStoreFailure(Start + 1s);
    CHECK(directory.versionSince(sentTo, Start + 1s).value().empty());
    directory.remove(sentTo.id, Start + 1s);
    CHECK(directory.versionSince(upstreamNamed("two"), Start + 1s).value().empty());
}

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

// Guards against new work for a zone that is under evacuation.
TEST_CASE_FIXTURE(allocator_fixture, "an upstream of an evacuated zone gets no work of any kind")
{
    directory.put(upstreamNamed("near", "a", 8));
    directory.put(upstreamNamed("far", "b", 8));
    const auto picks = [&](work_class work) {
        const auto picked = allocator.pick(requestOf(work), Start);
        return picked ? picked->value() : "";
    };
    CHECK(picks(work_class::Online) == "near");
    REQUIRE(directory.evacuations().add(zone_id("a")));
    CHECK(picks(work_class::Online) == "far");
    CHECK(picks(work_class::Batch) == "far");
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start) == 6);

    SUBCASE("nothing is left when all zones are evacuated")
    {
        REQUIRE(directory.evacuations().add(zone_id("b")));
        CHECK(picks(work_class::Online).empty());
        CHECK(picks(work_class::Batch).empty());
        CHECK_FALSE(allocator.knows(Engines));
        CHECK_FALSE(allocator.takesWork(Engines, {}, Start));
        CHECK(directory.versionsOf(Engines).empty());
    }
    SUBCASE("an upstream that appears during the evacuation gets nothing either")
    {
        directory.remove(upstream_id("far"), Start);
        directory.put(upstreamNamed("new", "a", 8));
        CHECK(picks(work_class::Online).empty());
    }
    SUBCASE("work returns when the evacuation is taken back")
    {
        REQUIRE(directory.evacuations().remove(zone_id("a")));
        CHECK(picks(work_class::Online) == "near");
    }
    SUBCASE("a zone without upstreams changes nothing")
    {
        REQUIRE(directory.evacuations().add(zone_id("nowhere")));
        CHECK(picks(work_class::Online) == "far");
    }
}

TEST_CASE("evacuations are bounded and counted once")
{
    evacuated_zones zones;
    CHECK(zones.add(zone_id("a")));
    CHECK_FALSE(zones.add(zone_id("a")));
    CHECK_FALSE(zones.remove(zone_id("b")));
    for (std::size_t i = 0; i < 2 * evacuated_zones::MaxZones; ++i)
        zones.add(zone_id("z" + std::to_string(i)));
    CHECK(zones.zones().size() == evacuated_zones::MaxZones);
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
    CHECK(allocator.pick(requestOf(work_class::Online), Start + 5s) == upstream_id("grey"));
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

namespace {

/// Gateways that send as many requests as upstreams accept and report to each other every 100 ms of
/// virtual time.
class limited_fleet
{
public:
    explicit limited_fleet(std::size_t size)
    {
        m_directory.put(upstreamNamed("limited"));
        for (std::size_t i = 0; i < size; ++i)
            m_gateways.push_back(std::make_unique<gateway>(i));
        for (auto &self : m_gateways)
            registerMembers(*self);
    }

    /// The upstream states a rate in a response to one gateway.
    void state(std::size_t index, std::optional<double> rate)
    {
        m_gateways[index]->rates.onStatement(statementOf(rate, m_now), m_now);
    }
    /// The upstream's record, which each gateway reads, states a warm-up of a group with this rate.
    void warmUp(duration length, double rate)
    {
        live_upstream upstream = upstreamNamed("limited");
        for (auto &each : m_gateways) {
            each->rates.setWarmUpRates({{Engines, rate}}, m_now);
            each->rates.onWarmUp(upstream, m_now + length, m_now);
        }
    }
    void setCutOff(std::size_t index, bool cutOff) { m_gateways[index]->cutOff = cutOff; }

    /// @param gateways number of gateways that have requests, at all times
    void run(duration length, std::size_t gateways, work_class work = work_class::Online)
    {
        const time_point end = m_now + length;
        for (std::size_t i = 0; i < gateways; ++i)
            m_gateways[i]->rates.setLoadShare(1.0 / static_cast<double>(gateways));
        while (m_now < end) {
            m_now += 10ms;
            for (std::size_t i = 0; i < gateways; ++i) {
                if (!m_gateways[i]->rates.maySend(Limited, work, m_now))
                    continue;
                m_gateways[i]->rates.onSent(Limited, m_now);
                m_sent.push_back(m_now);
            }
            if ((m_now - Start) % 100ms == 0ms)
                report();
        }
    }

    /// @return the largest number of requests in any window
    [[nodiscard]] std::size_t sentIn(duration window) const
    {
        std::size_t most = 0;
        for (std::size_t from = 0, to = 0; to < m_sent.size(); ++to) {
            while (m_sent[to] - m_sent[from] > window)
                ++from;
            most = std::max(most, to - from + 1);
        }
        return most;
    }
    [[nodiscard]] std::size_t sent() const { return m_sent.size(); }
    void forgetSent() { m_sent.clear(); }
    [[nodiscard]] upstream_rates &rates(std::size_t index) { return m_gateways[index]->rates; }
    [[nodiscard]] time_point now() const { return m_now; }

    static inline const upstream_id Limited{"limited"};

    static rate_statement statementOf(std::optional<double> rate, time_point at)
    {
        return {Limited, incarnation_number(1), rate, at};
    }

private:
    struct gateway
    {
        explicit gateway(std::size_t index)
            : member{vm_id("g" + std::to_string(index)), incarnation_number(1), "10.0.0.1:1",
                     zone_id("a")},
              peers(member, shared_rate_options()), rates(member.vm, peers)
        {
        }
        gateway_member member;
        peer_table peers;
        upstream_rates rates;
        bool cutOff = false;
    };

    void registerMembers(gateway &self)
    {
        self.peers.onOwnMembership(m_now);
        for (auto &other : m_gateways) {
            if (other.get() != &self)
                self.peers.onMember(other->member, 1, m_now);
        }
    }

    void report()
    {
        for (auto &from : m_gateways) {
            from->peers.onOwnMembership(m_now);
            for (auto &to : m_gateways) {
                if (from == to || from->cutOff || to->cutOff)
                    continue;
                const bool receivesOurs =
                    from->peers.recentIncarnation(to->member.vm, m_now).has_value();
                const bool wasReachable = to->peers.onReport(from->member, receivesOurs, m_now);
                for (const rate_statement &statement : from->rates.statements())
                    to->rates.onStatement(statement, m_now);
                to->rates.onPeerCounts(from->member.vm, from->member.incarnation,
                                       {from->rates.sentTo(Limited)}, wasReachable, m_now);
            }
        }
    }

    upstream_directory m_directory{directory_options()};
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::vector<time_point> m_sent;
    time_point m_now = Start;
};

/// What an upstream with a rate accepts in 4 s from all gateways.
double acceptedInFourSeconds(double rate)
{
    return 1.5 * rate * 4 + 5;
}

} // namespace

TEST_CASE("gateways together stay within the rate that an upstream states")
{
    for (const double rate : {0.5, 2.5, 20.0}) {
        for (const std::size_t size : {1, 7, 35}) {
            CAPTURE(rate);
            CAPTURE(size);
            limited_fleet fleet(size);
            fleet.run(2s, 0);
            fleet.state(0, rate);
            fleet.run(3s, size);
            fleet.forgetSent();
            fleet.run(20s, size);
            CHECK(static_cast<double>(fleet.sentIn(4s)) <= acceptedInFourSeconds(rate));
            CHECK(static_cast<double>(fleet.sent()) >= 0.9 * rate * 20 - 1);
        }
    }
}

TEST_CASE("a single gateway with requests may use the whole rate of an upstream")
{
    limited_fleet fleet(7);
    fleet.run(2s, 0);
    fleet.state(3, 10.0);
    fleet.run(2s, 1);
    fleet.forgetSent();
    fleet.run(10s, 1);
    CHECK(fleet.sent() >= 90);
}

TEST_CASE("gateways that are cut off use their share of an upstream's rate")
{
    limited_fleet fleet(6);
    fleet.run(2s, 0);
    fleet.state(0, 12.0);
    fleet.run(3s, 6);
    fleet.setCutOff(4, true);
    fleet.setCutOff(5, true);
    fleet.run(3s, 6);
    fleet.forgetSent();
    fleet.run(10s, 6);
    CHECK(static_cast<double>(fleet.sentIn(4s)) <= acceptedInFourSeconds(12.0));
}

TEST_CASE("batch items leave a token to online requests")
{
    limited_fleet fleet(1);
    fleet.state(0, 4.0);
    fleet.run(5s, 1, work_class::Batch);
    CHECK(fleet.rates(0).maySend(limited_fleet::Limited, work_class::Online, fleet.now()));
    CHECK_FALSE(fleet.rates(0).maySend(limited_fleet::Limited, work_class::Batch, fleet.now()));
}

namespace {

/// What an upstream that warms up withstands in each second from all gateways.
double withstoodInOneSecond(double rate)
{
    return 1.5 * rate + 5;
}

} // namespace

// Guards against a fleet that crashes upstreams that have just started.
TEST_CASE("gateways together stay within the rate of an upstream that warms up")
{
    for (const double rate : {4.0, 23.0, 60.0}) {
        for (const std::size_t size : {1, 7, 33, 133}) {
            CAPTURE(rate);
            CAPTURE(size);
            limited_fleet fleet(size);
            fleet.run(2s, 0);
            fleet.warmUp(10s, rate);
            fleet.run(10s, size);
            CHECK(static_cast<double>(fleet.sentIn(1s)) <= withstoodInOneSecond(rate));
            CHECK(static_cast<double>(fleet.sent()) >= 0.7 * rate * 10);
        }
    }
}

TEST_CASE("gateways that start together before upstreams that warm up stay within their rate")
{
    for (const std::size_t size : {1, 7, 33}) {
        CAPTURE(size);
        limited_fleet fleet(size);
        fleet.warmUp(10s, 23.0);
        fleet.run(10s, size);
        CHECK(static_cast<double>(fleet.sentIn(1s)) <= withstoodInOneSecond(23.0));
    }
}

TEST_CASE("the rate of a warm-up holds while gateways are cut off and after their return")
{
    limited_fleet fleet(33);
    fleet.run(2s, 0);
    fleet.warmUp(30s, 23.0);
    fleet.run(3s, 33);
    for (std::size_t i = 0; i < 16; ++i)
        fleet.setCutOff(i, true);
    fleet.run(6s, 33);
    for (std::size_t i = 0; i < 16; ++i)
        fleet.setCutOff(i, false);
    fleet.run(6s, 33);
    CHECK(static_cast<double>(fleet.sentIn(1s)) <= withstoodInOneSecond(23.0));
}

TEST_CASE("a warm-up ends in time, with its record and with the group's rate")
{
    limited_fleet fleet(1);
    auto &rates = fleet.rates(0);
    const auto maySendMany = [&](duration at) {
        unsigned sent = 0;
        while (sent < 100
               && rates.maySend(limited_fleet::Limited, work_class::Online, Start + at)) {
            rates.onSent(limited_fleet::Limited, Start + at);
            ++sent;
        }
        return sent == 100;
    };
    const auto tick = [&](duration at) {
        upstream_directory directory{directory_options()};
        directory.put(upstreamNamed("limited"));
        rates.tick(directory, Start + at);
    };
    CHECK(maySendMany(0s));
    fleet.warmUp(3s, 23.0);
    CHECK(rates.warmingUp(Start) == 1);
    CHECK_FALSE(maySendMany(0s));

    SUBCASE("the time that the record stated is over")
    {
        tick(2'999ms);
        CHECK_FALSE(maySendMany(2'999ms));
        tick(3s);
        CHECK(maySendMany(3s));
    }
    SUBCASE("a later record states no warm-up")
    {
        rates.onWarmUp(upstreamNamed("limited"), Start + 1s, Start + 1s);
        CHECK(maySendMany(1s));
    }
    SUBCASE("a later record extends it")
    {
        rates.onWarmUp(upstreamNamed("limited"), Start + 5s, Start + 2s);
        tick(4s);
        CHECK_FALSE(maySendMany(4s));
    }
    SUBCASE("the configuration has no rate any more")
    {
        rates.setWarmUpRates({}, Start + 1s);
        CHECK(maySendMany(1s));
    }
    SUBCASE("a lower stated rate holds beside it and after it")
    {
        rates.onStatement(limited_fleet::statementOf(1.0, Start + 1s), Start + 1s);
        tick(3s);
        CHECK_FALSE(maySendMany(3s));
        CHECK(rates.limited() == 1);
    }
}

TEST_CASE("the newest statement of an upstream counts")
{
    limited_fleet fleet(2);
    fleet.run(1s, 0);
    auto &rates = fleet.rates(0);
    const auto statement = [](std::optional<double> rate, duration at) {
        return limited_fleet::statementOf(rate, Start + at);
    };
    CHECK_FALSE(rates.onStatement(statement(std::nullopt, 1s), Start + 1s));
    CHECK(rates.onStatement(statement(5.0, 2s), Start + 2s));
    CHECK_FALSE(rates.onStatement(statement(std::nullopt, 1s), Start + 3s));
    CHECK(rates.limited() == 1);
    CHECK(rates.onStatement(statement(std::nullopt, 3s), Start + 3s));
    CHECK(rates.limited() == 0);
    CHECK(rates.maySend(limited_fleet::Limited, work_class::Batch, Start + 3s));
    CHECK_FALSE(rates.onStatement(statement(5.0, 2s), Start + 4s));
    CHECK(rates.onStatement(statement(5.0, 5s), Start + 5s));
}

TEST_CASE("a rate ends with the upstream's incarnation and with its record")
{
    upstream_directory directory{directory_options()};
    peer_table peers{gateway_member(), shared_rate_options()};
    upstream_rates rates{vm_id("g"), peers};
    directory.put(upstreamNamed("limited"));
    rates.onStatement(limited_fleet::statementOf(1.0, Start), Start);
    rates.tick(directory, Start);
    CHECK(rates.limited() == 1);
    live_upstream restarted = upstreamNamed("limited");
    restarted.incarnation = incarnation_number(2);
    directory.put(restarted);
    rates.tick(directory, Start);
    CHECK(rates.limited() == 0);
    rates.onStatement({upstream_id("gone"), incarnation_number(1), 1.0, Start}, Start);
    rates.tick(directory, Start);
    CHECK(rates.limited() == 0);
}

TEST_CASE("an upstream that accepts nothing is asked now and then")
{
    limited_fleet fleet(3);
    fleet.run(1s, 0);
    fleet.state(0, 0.0);
    fleet.run(200ms, 0);
    fleet.run(40s, 3);
    CHECK(fleet.sent() >= 5);
    CHECK(fleet.sentIn(4s) <= 5);
}

namespace {

struct limited_fixture : allocator_fixture
{
    limited_fixture()
    {
        directory.put(upstreamNamed("limited", "a", 8));
        peers.onOwnMembership(Start);
        rates.onStatement({upstream_id("limited"), incarnation_number(1), 2.0, Start}, Start);
    }

    unsigned acquireAll(work_class work, time_point now)
    {
        unsigned acquired = 0;
        while (const auto picked = allocator.pick(requestOf(work), now)) {
            allocator.acquire(*picked, work, now);
            ++acquired;
        }
        return acquired;
    }
};

} // namespace

TEST_CASE_FIXTURE(limited_fixture, "an upstream without a token gets no request")
{
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start) == 8);
    CHECK(acquireAll(work_class::Online, Start) == 4); // the requests of 2 s
    CHECK(allocator.freeSlots(Engines, work_class::Online, Start) == 0);
    CHECK(acquireAll(work_class::Online, Start + 2s) == 4);
}

TEST_CASE_FIXTURE(limited_fixture, "online requests avoid an upstream whose rate is nearly used up")
{
    directory.put(upstreamNamed("other", "a", 8));
    for (unsigned i = 0; i < 3; ++i)
        allocator.acquire(upstream_id("limited"), work_class::Online, Start);
    CHECK(allocator.pick(requestOf(work_class::Online), Start) == upstream_id("other"));
}

TEST_CASE_FIXTURE(limited_fixture, "an item yields only where a slot is missing")
{
    for (unsigned i = 0; i < 7; ++i)
        allocator.acquire(upstream_id("limited"), work_class::Batch, Start);
    CHECK_FALSE(allocator.needsSlot(upstream_id("limited"), Start + 5s));
    allocator.acquire(upstream_id("limited"), work_class::Batch, Start);
    CHECK_FALSE(allocator.needsSlot(upstream_id("limited"), Start));
    CHECK(allocator.needsSlot(upstream_id("limited"), Start + 5s));
}

namespace {

live_upstream upstreamOf(const std::string &id, const std::string &version, unsigned slots = 2)
{
    live_upstream upstream = upstreamNamed(id, "a", slots);
    upstream.version = software_version(version);
    return upstream;
}

placement_request goingOnAt(const std::string &version)
{
    placement_request request = requestOf(work_class::Online);
    request.version = software_version(version);
    return request;
}

} // namespace

TEST_CASE("a stream that goes on gets only upstreams of its version")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamOf("old", "v1"));
    fixture.directory.put(upstreamOf("new", "v2"));
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.allocator.pick(goingOnAt("v1"), Start) == upstream_id("old"));
    CHECK_FALSE(fixture.allocator.pick(goingOnAt("v3"), Start));
    CHECK_FALSE(fixture.allocator.pick(goingOnAt(""), Start));
    CHECK(fixture.allocator.freeSlots(Engines, work_class::Online, Start, software_version("v1"))
          == 2);

    SUBCASE("an upstream that starts again under its id with another version is another one")
    {
        live_upstream restarted = upstreamOf("old", "v2");
        restarted.incarnation = incarnation_number(2);
        fixture.directory.put(restarted);
        CHECK_FALSE(fixture.allocator.pick(goingOnAt("v1"), Start));
        CHECK(fixture.directory.versionsOf(Engines) == std::set{software_version("v2")});
    }
    SUBCASE("another upstream at the same address doesn't stand in")
    {
        fixture.directory.remove(upstream_id("old"), Start);
        fixture.directory.put(upstreamOf("next", "v2"));
        CHECK_FALSE(fixture.allocator.pick(goingOnAt("v1"), Start));
    }
    SUBCASE("a leaving upstream takes nothing")
    {
        live_upstream leaving = upstreamOf("old", "v1");
        leaving.leaving = true;
        fixture.directory.put(leaving);
        CHECK_FALSE(fixture.allocator.pick(goingOnAt("v1"), Start));
        CHECK_FALSE(fixture.directory.versionsOf(Engines).contains(software_version("v1")));
    }
}

TEST_CASE("a stream goes on at an upstream that was tried before if no other has its version")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamOf("one", "v1"));
    fixture.directory.put(upstreamOf("other", "v2"));
    placement_request request = goingOnAt("v1");
    request.excluded = {upstream_id("one")};
    CHECK(fixture.allocator.pick(request, Start) == upstream_id("one"));
    fixture.directory.put(upstreamOf("two", "v1"));
    CHECK(fixture.allocator.pick(request, Start) == upstream_id("two"));
    request.version.reset();
    request.excluded.insert(upstream_id("two"));
    request.excluded.insert(upstream_id("other"));
    CHECK_FALSE(fixture.allocator.pick(request, Start));
}

TEST_CASE("a stream that goes on may use the slots that are kept for other zones")
{
    allocator_fixture fixture;
    live_upstream far = upstreamOf("far", "v1", 4);
    far.zone = zone_id("b");
    fixture.directory.put(far);
    fixture.allocator.acquire(upstream_id("far"), work_class::Online, Start);
    fixture.allocator.acquire(upstream_id("far"), work_class::Online, Start);
    CHECK_FALSE(fixture.allocator.pick(requestOf(work_class::Online), Start));
    CHECK(fixture.allocator.pick(goingOnAt("v1"), Start) == upstream_id("far"));
    placement_request batch = goingOnAt("v1");
    batch.work = work_class::Batch;
    CHECK_FALSE(fixture.allocator.pick(batch, Start));
}

TEST_CASE("a stream that waits for its version holds up neither new work nor other versions")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamOf("old", "v1", 1));
    fixture.directory.put(upstreamOf("new", "v2", 2));
    REQUIRE(fixture.queue.tryAcquire(goingOnAt("v1"), Start));
    const auto waiter =
        fixture.queue.enqueueUnchecked({goingOnAt("v1"), customer_id("c"), 0, Start + 1s});
    CHECK(fixture.queue.grant(Start).empty());
    const auto waiting = fixture.queue.waitingWork();
    REQUIRE_FALSE(waiting.empty());
    CHECK(waiting.front().version == software_version("v1"));
    CHECK(waiting.front().count == 1);
    CHECK(std::count_if(waiting.begin(), waiting.end(),
                        [](const waiting_work &each) { return each.version.has_value(); })
          == 1);
    CHECK_FALSE(fixture.queue.tryAcquire(goingOnAt("v1"), Start));
    CHECK(fixture.queue.tryAcquire(goingOnAt("v2"), Start) == upstream_id("new"));
    CHECK(fixture.queue.tryAcquire(requestOf(work_class::Online), Start) == upstream_id("new"));

    const auto newcomer = fixture.queue.enqueueUnchecked(waitingFor("d", 0, Start + 1s));
    fixture.allocator.release(upstream_id("old"), work_class::Online);
    // The slot that both can use goes to the stream that has no other.
    const auto granted = fixture.queue.grant(Start);
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].waiter == waiter);
    fixture.allocator.release(upstream_id("new"), work_class::Online);
    REQUIRE(fixture.queue.grant(Start).size() == 1);
    fixture.queue.remove(newcomer);
}

TEST_CASE("new streams fill the upstreams of a rare version as evenly as those of a frequent one")
{
    allocator_fixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.directory.put(upstreamOf("new-" + std::to_string(i), "v2", 8));
    fixture.directory.put(upstreamOf("old", "v1", 8));
    for (int i = 0; i < 28; ++i)
        REQUIRE(fixture.queue.tryAcquire(requestOf(work_class::Online), Start));
    for (const auto &[id, use] : fixture.allocator.ownUse()) {
        CHECK(use.total() >= 3);
        CHECK(use.total() <= 5);
    }
    CHECK(fixture.allocator.ownUse().size() == 7);
}

TEST_CASE("an upstream that states that it leaves gets nothing, whatever its record says")
{
    allocator_fixture fixture;
    upstream_directory &directory = fixture.directory;
    directory.put(upstreamNamed("one"));
    const leaving_statement statement{upstream_id("one"), incarnation_number(1), Start};
    REQUIRE(directory.onLeaving(statement));
    CHECK_FALSE(directory.onLeaving(statement));
    CHECK_FALSE(fixture.allocator.pick(requestOf(work_class::Online), Start));
    CHECK(fixture.allocator.freeSlots(Engines, work_class::Online, Start) == 0);
    CHECK_FALSE(fixture.allocator.needsSlot(upstream_id("one"), Start));
    CHECK(directory.unconfirmedLeaving().size() == 1);

    SUBCASE("a record that calls it sound doesn't bring it back, also after its removal")
    {
        CHECK_FALSE(directory.put(upstreamNamed("one")));
        CHECK(directory.find(upstream_id("one"))->leaving);
        directory.remove(upstream_id("one"), Start);
        CHECK(directory.takeConfirmedLeaving().size() == 1);
        directory.replaceAll({upstreamNamed("one")}, Start);
        CHECK(directory.find(upstream_id("one"))->leaving);
    }
    SUBCASE("a later start under its id is free, an earlier one is not")
    {
        live_upstream later = upstreamNamed("one");
        later.incarnation = incarnation_number(2);
        directory.put(later);
        CHECK_FALSE(directory.find(upstream_id("one"))->leaving);
        CHECK(directory.unconfirmedLeaving().empty());
        CHECK(fixture.allocator.pick(requestOf(work_class::Online), Start));
        directory.put(upstreamNamed("one"));
        CHECK(directory.find(upstream_id("one"))->leaving);
    }
    SUBCASE("another upstream at its address is free")
    {
        directory.put(upstreamNamed("two"));
        CHECK(fixture.allocator.pick(requestOf(work_class::Online), Start) == upstream_id("two"));
    }
    SUBCASE("its record confirms it")
    {
        live_upstream leaving = upstreamNamed("one");
        leaving.leaving = true;
        directory.put(leaving);
        CHECK(directory.unconfirmedLeaving().empty());
        CHECK(directory.takeConfirmedLeaving().size() == 1);
        CHECK(directory.takeConfirmedLeaving().empty());
    }
}

TEST_CASE("a statement that comes before the record or belongs to an earlier start")
{
    upstream_directory directory{directory_options()};
    CHECK_FALSE(directory.onLeaving({upstream_id("one"), incarnation_number(1), Start}));
    directory.put(upstreamNamed("one"));
    CHECK(directory.find(upstream_id("one"))->leaving);

    live_upstream later = upstreamNamed("two");
    later.incarnation = incarnation_number(5);
    directory.put(later);
    CHECK_FALSE(directory.onLeaving({upstream_id("two"), incarnation_number(4), Start}));
    CHECK_FALSE(directory.find(upstream_id("two"))->leaving);
}

TEST_CASE("statements are bounded under any number of upstreams")
{
    upstream_directory directory{directory_options()};
    for (int i = 0; i < 5'000; ++i) {
        const std::string name = "engine-" + std::to_string(i);
        directory.put(upstreamNamed(name));
        directory.onLeaving({upstream_id(name), incarnation_number(1), Start + i * 1ms});
    }
    CHECK(directory.unconfirmedLeaving().size() == 4'096);
}

namespace {

/// A gateway whose peers hold all slots of the upstreams "one" and "two" with batch items.
struct batch_peers_fixture : allocator_fixture
{
    batch_peers_fixture()
    {
        directory.put(upstreamNamed("one"));
        directory.put(upstreamNamed("two"));
        report("p1", "one", 2);
        report("p2", "two", 2);
    }

    void report(const std::string &peer, const std::string &upstream, unsigned batch)
    {
        std::unordered_map<upstream_id, slot_use> use;
        if (batch > 0)
            use[upstream_id(upstream)].batch = batch;
        planner.onReport(vm_id(peer), use);
        allocator.onPeerUse(vm_id(peer), std::move(use), {}, Start);
    }

    std::vector<yield_target> plan(std::size_t waiting, time_point now = Start)
    {
        return planner.plan(allocator, {{Engines, std::nullopt, waiting}}, now);
    }

    yield_planner planner{1};
};

} // namespace

TEST_CASE_FIXTURE(batch_peers_fixture, "one batch run is asked for each request that waits")
{
    CHECK(plan(0).empty());
    CHECK(plan(1).size() == 1);
    // The request still waits for the answer.
    CHECK(plan(1, Start + 20ms).empty());
    CHECK(plan(2, Start + 40ms).size() == 1);
}

TEST_CASE_FIXTURE(batch_peers_fixture, "no run is asked for twice")
{
    const auto asked = plan(9);
    REQUIRE(asked.size() == 2);
    CHECK(asked[0].gateway != asked[1].gateway);
    // Each of the two gateways has another run.
    CHECK(plan(9, Start + 20ms).size() == 2);
    CHECK(plan(9, Start + 40ms).empty());
}

TEST_CASE_FIXTURE(batch_peers_fixture, "a report of a freed slot lets the next request ask")
{
    const auto first = plan(1);
    REQUIRE(first.size() == 1);
    const bool isOne = first[0].gateway == vm_id("p1");
    report(isOne ? "p1" : "p2", isOne ? "one" : "two", 2);
    CHECK(plan(1, Start + 20ms).empty());
    report(isOne ? "p1" : "p2", isOne ? "one" : "two", 1);
    const auto next = plan(1, Start + 40ms);
    REQUIRE(next.size() == 1);
    // Its upstream has a free slot by now.
    CHECK(next[0].gateway != first[0].gateway);
}

TEST_CASE_FIXTURE(batch_peers_fixture, "a gateway that doesn't answer is asked again after a while")
{
    CHECK(plan(1).size() == 1);
    CHECK(plan(1, Start + yield_planner::AnswerTime - 1ms).empty());
    CHECK(plan(1, Start + yield_planner::AnswerTime).size() == 1);
}

TEST_CASE_FIXTURE(batch_peers_fixture, "no more runs are asked for in a round than its bound")
{
    for (int i = 0; i < 20; ++i) {
        const std::string name = "more" + std::to_string(i);
        directory.put(upstreamNamed(name));
        report("q" + std::to_string(i), name, 2);
    }
    CHECK(plan(20).size() == yield_planner::MaxAsksPerRound);
}

TEST_CASE_FIXTURE(allocator_fixture,
                  "the upstreams of the cell are preferred to others of the zone")
{
    placement_options options = optionsOf();
    directory.put(upstreamNamed("near", "a", 8));
    directory.put(upstreamNamed("other", "a", 8));
    directory.put(upstreamNamed("far", "b", 8));
    allocator.setCell(std::unordered_set{upstream_id("near")});
    for (unsigned i = 0; i < 8; ++i) {
        const auto picked = allocator.pick(requestOf(work_class::Online), Start);
        REQUIRE(picked);
        allocator.acquire(*picked, work_class::Online, Start);
    }
    CHECK(allocator.ownUse().at(upstream_id("near")).online >= options.otherCell.cost);
    CHECK_FALSE(allocator.ownUse().contains(upstream_id("far")));
    // Where the cell is full, the others are used up to the slots that stay free for theirs.
    while (const auto picked = allocator.pick(requestOf(work_class::Online), Start))
        allocator.acquire(*picked, work_class::Online, Start);
    CHECK(allocator.ownUse().at(upstream_id("near")).online == 8);
    CHECK(allocator.ownUse().at(upstream_id("other")).online == 8 - options.otherCell.reserve);
    CHECK(allocator.ownUse().at(upstream_id("far")).online == 8 - options.otherZoneOfCells.reserve);
}

TEST_CASE("each upstream with few slots runs some work of any class and distance")
{
    for (const unsigned slots : {1U, 2U, 3U, 4U}) {
        for (const char *zone : {"a", "b"}) {
            CAPTURE(slots);
            CAPTURE(zone);
            upstream_directory directory{directory_options()};
            peer_table peers{gateway_member(), shared_rate_options()};
            upstream_rates rates{vm_id("g"), peers};
            slot_allocator allocator{directory, rates, placement_options{zone_id("a")}, 1};
            directory.put(upstreamNamed("only", zone, slots));
            CHECK(allocator.pick(requestOf(work_class::Batch), Start));
            CHECK(allocator.pick(requestOf(work_class::Online), Start));
            CHECK(allocator.freeSlots(Engines, work_class::Batch, Start) >= 1);
            for (unsigned used = 0; used < slots; ++used)
                allocator.acquire(upstream_id("only"), work_class::Batch, Start);
            CHECK_FALSE(allocator.pick(requestOf(work_class::Batch), Start));
            CHECK(allocator.needsSlot(upstream_id("only"), Start));
        }
    }
}

TEST_CASE("batch work leaves slots free where there are some to spare")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamNamed("near", "a", 8));
    CHECK(fixture.allocator.freeSlots(Engines, work_class::Batch, Start) == 7);
    CHECK(fixture.allocator.freeSlots(Engines, work_class::Online, Start) == 8);
}

namespace {

/// Gateways that run batch items at one upstream and learn of each other's use with a delay.
class few_slots_fleet
{
public:
    few_slots_fleet(std::size_t gateways, unsigned slots)
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            m_gateways.push_back(std::make_unique<gateway>(i));
            m_gateways.back()->directory.put(upstreamNamed("only", "b", slots));
        }
    }

    void run(duration length)
    {
        for (time_point now = Start + 2s; now < Start + 2s + length; now += Tick) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i)
                step(i, now);
            unsigned active = 0;
            for (const auto &each : m_gateways)
                active += static_cast<unsigned>(each->ends.size());
            m_most = std::max(m_most, active);
        }
    }

    [[nodiscard]] unsigned most() const { return m_most; }
    [[nodiscard]] unsigned ranAt(std::size_t index) const { return m_gateways[index]->runs; }

private:
    static constexpr std::chrono::milliseconds Tick{20};
    static constexpr std::chrono::milliseconds ReportInterval{330};
    static constexpr std::chrono::milliseconds TransitTime{20};
    static constexpr std::chrono::milliseconds RunTime{300};

    struct gateway
    {
        explicit gateway(std::size_t index) : allocator(directory, rates, optionsOf(2), index + 1)
        {
        }

        upstream_directory directory{directory_options()};
        peer_table peers{gateway_member(), shared_rate_options()};
        upstream_rates rates{vm_id("g"), peers};
        slot_allocator allocator;
        std::vector<time_point> ends; // of the runs under way
        unsigned runs = 0;
        std::map<time_point, std::unordered_map<upstream_id, slot_use>> reports; // by arrival
    };

    void step(std::size_t index, time_point now)
    {
        gateway &each = *m_gateways[index];
        const upstream_id only("only");
        each.runs += static_cast<unsigned>(std::erase_if(each.ends, [&](time_point end) {
            if (end > now)
                return false;
            each.allocator.release(only, work_class::Batch);
            return true;
        }));
        for (std::size_t peer = 0; peer < m_gateways.size(); ++peer)
            receive(each, index, peer, now);
        each.allocator.tick(now);
        // Two items wait at each gateway, as it may claim more than it needs otherwise.
        for (int item = 0; item < 2; ++item) {
            if (const auto picked = each.allocator.pick(requestOf(work_class::Batch), now)) {
                each.allocator.acquire(*picked, work_class::Batch, now);
                each.ends.push_back(now + RunTime);
            }
        }
        // The gateways report at different times.
        if ((now - Start + index * 90ms) % ReportInterval < duration(Tick))
            each.reports[now + TransitTime] = each.allocator.ownUse();
    }

    void receive(gateway &receiver, std::size_t self, std::size_t peer, time_point now)
    {
        if (peer == self)
            return;
        const auto &reports = m_gateways[peer]->reports;
        const auto next = reports.upper_bound(now);
        receiver.allocator.onPeerUse(
            vm_id(std::to_string(peer)),
            next == reports.begin() ? decltype(next->second)() : std::prev(next)->second, {}, now);
    }

    std::vector<std::unique_ptr<gateway>> m_gateways;
    unsigned m_most = 0;
};

} // namespace

// Guards against two gateways that give the same free slot away between two reports.
TEST_CASE("the only slot of an upstream runs one batch item of all gateways")
{
    for (const std::size_t gateways : {1U, 2U, 5U}) {
        for (const unsigned slots : {1U, 2U, 4U}) {
            CAPTURE(gateways);
            CAPTURE(slots);
            few_slots_fleet fleet(gateways, slots);
            fleet.run(60s);
            CHECK(fleet.most() >= 1);
            CHECK(fleet.most() <= 1);
            for (std::size_t i = 0; i < gateways; ++i)
                CHECK(fleet.ranAt(i) >= 3);
        }
    }
}

TEST_CASE("a request that wants another place never gets the one that it excludes")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamNamed("one"));
    placement_request request = requestOf(work_class::Online);
    request.version = software_version();
    request.excluded.insert(upstream_id("one"));
    CHECK(fixture.allocator.pick(request, Start));
    request.onlyOthers = true;
    CHECK_FALSE(fixture.allocator.pick(request, Start));
    fixture.directory.put(upstreamNamed("two"));
    CHECK(fixture.allocator.pick(request, Start) == upstream_id("two"));
}

TEST_CASE("a waiter without a place that it may use doesn't hold up those behind it")
{
    allocator_fixture fixture;
    fixture.directory.put(upstreamNamed("one", "a", 1));
    fixture.allocator.acquire(upstream_id("one"), work_class::Online, Start);
    slot_request leaving = waitingFor("shire", 0, Start + 5s);
    leaving.placement.excluded.insert(upstream_id("one"));
    leaving.placement.onlyOthers = true;
    fixture.queue.enqueueUnchecked(leaving);
    const waiter_id next = fixture.queue.enqueueUnchecked(waitingFor("depot", 0, Start + 5s));
    fixture.allocator.release(upstream_id("one"), work_class::Online);
    const auto granted = fixture.queue.grant(Start);
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().waiter == next);
    CHECK(fixture.queue.size() == 1);
}
