// Tests of orders to upstreams: fencing, supersession and the rate limit of the weight store.
#include "support/orders_simulation.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <random>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

using schema::order_kind;

const time_point Start{100h};
const std::string Self = "engines-1";
const std::string Other = "engines-2";
constexpr std::uint64_t Wall = 1'000'000; // seconds

order_dispatcher makeDispatcher(order_mutation mutation = order_mutation::None,
                                duration interval = 10s)
{
    return {vm_id(Self), weight_store_limiter(interval, 1), mutation};
}

/// @brief A side with its log and upstream.
struct side_simulation
{
    orders_log log;
    unfenced_upstream upstream;
    order_process process{makeDispatcher()};
    order_dispatcher &dispatcher = process.dispatcher;

    void read(time_point now) { dispatcher.onRead(log.read(log_offset(1), now), now); }
    void runUntilIdle(time_point now) { process.runUntilIdle(log, upstream, now); }
    [[nodiscard]] order_state stateOf(const std::string &id) const
    {
        for (const tracked_order &entry : dispatcher.orders()) {
            if (entry.order.id == id)
                return entry.state;
        }
        FAIL("no order " << id);
        return {};
    }
};

/// @return whether a dispatcher sends an order to an upstream that has executed a newer one
bool sendsStaleOrder(order_mutation mutation)
{
    orders_log log;
    unfenced_upstream upstream;
    log.append(Self, "old", order_kind::ChangeRole);
    log.append(Self, "new", order_kind::LoadModel);
    order_process process{makeDispatcher(mutation)};
    process.dispatcher.onRead(log.read(log_offset(1), Start), Start);
    upstream.inForce[order_kind::LoadModel] = "new";
    upstream.highestExecutedFence = 2;
    process.runUntilIdle(log, upstream, Start);
    return upstream.receivedStaleOrder;
}

/// @brief Simulates two processes at one upstream, as when a paused process was replaced and
/// resumes. One of them runs while the other is paused, possibly during an action. The upstream
/// refuses some orders.
/// @return whether the upstream received an order after it had executed a newer one
bool raceSendsStaleOrder(unsigned seed, order_mutation mutation)
{
    std::mt19937 random(seed);
    orders_log log;
    unfenced_upstream upstream;
    order_process processes[] = {{makeDispatcher(mutation, 1ms)}, {makeDispatcher(mutation, 1ms)}};
    time_point now = Start;
    for (order_process &process : processes)
        process.dispatcher.onRead(log.read(log_offset(1), now), now);
    int written = 0;
    unsigned running = 0;
    for (int step = 0; step < 400; ++step) {
        const unsigned choice = random() % 12;
        now += 10ms;
        if (choice == 0) {
            running = 1 - running;
            now += 3s;
        } else if (choice <= 2) {
            log.append(Self, "o" + std::to_string(written++),
                       static_cast<order_kind>(random() % 4));
        } else if (choice == 3) {
            order_dispatcher &dispatcher = processes[running].dispatcher;
            dispatcher.onRead(log.read(log_offset(1), now), now);
        } else {
            processes[running].step(log, upstream, now,
                                    choice == 4 ? order_outcome::Refused : order_outcome::Done);
        }
    }
    return upstream.receivedStaleOrder;
}

std::optional<unsigned> firstSeedWithStaleOrder(order_mutation mutation)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        if (raceSendsStaleOrder(seed, mutation))
            return seed;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("orders with a stale fencing number are not sent")
{
    CHECK_FALSE(sendsStaleOrder(order_mutation::None));
    CHECK(sendsStaleOrder(order_mutation::IgnoreFence));
}

TEST_CASE("two processes at one upstream never send an order older than one already executed")
{
    CHECK_FALSE(firstSeedWithStaleOrder(order_mutation::None));
    CHECK(firstSeedWithStaleOrder(order_mutation::IgnoreFence));
}

TEST_CASE("order dispatcher")
{
    side_simulation simulation;

    SUBCASE("sends nothing until it has read the log to its end")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        auto part = simulation.log.read(log_offset(1), Start);
        part.atEnd = false;
        simulation.dispatcher.onRead(part, Start);
        CHECK_FALSE(simulation.dispatcher.next(Start));
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1});
        CHECK(simulation.stateOf("a") == order_state::Done);
    }
    SUBCASE("sends nothing until the upstream has reported its state")
    {
        simulation.log.append(Self, "a", order_kind::ChangeRole);
        simulation.read(Start);
        const auto action = simulation.dispatcher.next(Start);
        REQUIRE(action);
        CHECK(std::holds_alternative<query_upstream_state>(*action));
        simulation.dispatcher.onUpstreamStateFailed("refused", Start);
        CHECK_FALSE(simulation.dispatcher.next(Start));
        CHECK(simulation.dispatcher.orders().back().message == "refused");
        CHECK(
            std::holds_alternative<query_upstream_state>(*simulation.dispatcher.next(Start + 1s)));
    }
    SUBCASE("ignores orders to other VMs")
    {
        simulation.log.append(Other, "a", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        CHECK(simulation.upstream.received.empty());
        CHECK(simulation.dispatcher.orders().empty());
    }
    SUBCASE("sends only the newest waiting order of a kind")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.log.append(Self, "r", order_kind::ChangeRole);
        simulation.log.append(Self, "b", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start + 10s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{2, 3});
        CHECK(simulation.stateOf("a") == order_state::Superseded);
    }
    SUBCASE("sends no newer order while one is in progress")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        while (!std::holds_alternative<send_order>(*simulation.dispatcher.next(Start)))
            simulation.dispatcher.onUpstreamState({}, Start, Start);
        CHECK(simulation.stateOf("a") == order_state::InProgress);
        simulation.log.append(Self, "b", order_kind::LoadModel);
        simulation.read(Start + 20s);
        CHECK_FALSE(simulation.dispatcher.next(Start + 20s));
        simulation.dispatcher.onAnswer({order_outcome::Unknown, "cut"}, Start + 20s);
        CHECK(simulation.stateOf("a") == order_state::Superseded);
        simulation.runUntilIdle(Start + 40s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{2});
    }
    SUBCASE("limits the rate of loads but not of role changes")
    {
        simulation.read(Start);
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.log.append(Self, "b", order_kind::LoadAdapter);
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        simulation.runUntilIdle(Start + 9s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1});
        simulation.runUntilIdle(Start + 10s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1, 2});
        simulation.log.append(Self, "r", order_kind::ChangeRole);
        simulation.read(Start + 11s);
        simulation.runUntilIdle(Start + 11s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1, 2, 3});
    }
    SUBCASE("a load waits for the loads of other VMs that were ordered before it")
    {
        simulation.read(Start);
        simulation.log.append(Other, "a", order_kind::LoadModel);
        simulation.log.append(Other, "b", order_kind::LoadVersion);
        simulation.log.append(Self, "c", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start + 19s);
        CHECK(simulation.upstream.received.empty());
        simulation.runUntilIdle(Start + 20s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{3});
    }
    SUBCASE("a changed rate applies to loads ordered after the change")
    {
        simulation.read(Start);
        simulation.dispatcher.setLoadRate(1s, 1);
        simulation.log.append(Other, "a", order_kind::LoadModel);
        simulation.log.append(Self, "b", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start + 1s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{2});
    }
    SUBCASE("applies a duplicate record once, with the first fencing number")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        simulation.runUntilIdle(Start + 30s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1});
        CHECK(simulation.dispatcher.orders().size() == 1);
    }
    SUBCASE("ignores entries that are not a valid order")
    {
        simulation.log.appendBytes("not a batch");
        simulation.log.append(Self, "", order_kind::LoadModel);
        simulation.log.append(Self, "x", static_cast<order_kind>(9));
        simulation.read(Start);
        CHECK(simulation.dispatcher.orders().empty());
    }
    SUBCASE("a refused order is not sent again")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        while (!std::holds_alternative<send_order>(*simulation.dispatcher.next(Start)))
            simulation.dispatcher.onUpstreamState({}, Start, Start);
        simulation.dispatcher.onAnswer({order_outcome::Refused, "no such model"}, Start);
        simulation.runUntilIdle(Start + 30s);
        CHECK(simulation.upstream.received.empty());
        CHECK(simulation.stateOf("a") == order_state::Refused);
        CHECK(simulation.dispatcher.orders().back().message == "no such model");
    }
    SUBCASE("a load that a busy upstream rejected is sent again at its next reserved time")
    {
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        while (!std::holds_alternative<send_order>(*simulation.dispatcher.next(Start)))
            simulation.dispatcher.onUpstreamState({}, Start, Start);
        simulation.dispatcher.onAnswer({order_outcome::Busy, "busy"}, Start);
        simulation.runUntilIdle(Start + 9s);
        CHECK(simulation.upstream.received.empty());
        simulation.runUntilIdle(Start + 10s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1});
    }
    SUBCASE("a process that was paused reads the log again before it sends an order")
    {
        simulation.read(Start);
        simulation.log.append(Other, "x", order_kind::LoadModel);
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        simulation.log.append(Self, "b", order_kind::LoadModel);
        simulation.runUntilIdle(Start + 60s);
        CHECK(simulation.stateOf("a") == order_state::Superseded);
        simulation.runUntilIdle(Start + 70s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{3});
    }
    SUBCASE("a read from before a short pause is not enough to send an order")
    {
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        const time_point resumedAt = Start + 500ms;
        simulation.log.append(Self, "a", order_kind::ChangeRole);
        const auto staleRead = simulation.log.read(log_offset(1), Start + 10ms);
        simulation.log.append(Self, "b", order_kind::ChangeRole);
        simulation.dispatcher.onRead(staleRead, resumedAt);
        simulation.runUntilIdle(resumedAt);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{2});
    }
    SUBCASE("an order must be sent within two seconds")
    {
        simulation.log.append(Self, "r", order_kind::ChangeRole);
        simulation.read(Start);
        simulation.dispatcher.onUpstreamState({}, Start, Start);
        const auto action = simulation.dispatcher.next(Start);
        REQUIRE(action);
        CHECK(std::get<send_order>(*action).validUntil <= Start + 2s);
        simulation.dispatcher.onAnswer({order_outcome::NotSent, ""}, Start + 60s);
        CHECK(
            std::holds_alternative<query_upstream_state>(*simulation.dispatcher.next(Start + 60s)));
    }
    SUBCASE("sends nothing while the log can't be read")
    {
        simulation.log.append(Self, "r", order_kind::ChangeRole);
        simulation.read(Start);
        simulation.dispatcher.onUpstreamState({}, Start + 60s, Start + 60s);
        CHECK(std::holds_alternative<reread_orders>(*simulation.dispatcher.next(Start + 60s)));
        simulation.dispatcher.onReadFailed(Start + 60s);
        CHECK_FALSE(simulation.dispatcher.next(Start + 60s));
    }
    SUBCASE("refuses all orders of an upstream that does not support them")
    {
        simulation.dispatcher.rejectAllOrders();
        simulation.log.append(Self, "a", order_kind::LoadModel);
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        CHECK(simulation.upstream.received.empty());
        CHECK(simulation.stateOf("a") == order_state::Refused);
    }
    SUBCASE("keeps a bounded number of orders, and the newest of each kind")
    {
        simulation.log.append(Self, "role", order_kind::ChangeRole);
        for (int number = 0; number < 100; ++number)
            simulation.log.append(Self, "a" + std::to_string(number), order_kind::LoadModel);
        simulation.read(Start);
        CHECK(simulation.dispatcher.orders().size() == 32);
        CHECK(simulation.stateOf("role") == order_state::Waiting);
        CHECK(simulation.stateOf("a99") == order_state::Waiting);
    }
}

TEST_CASE("loads of all VMs keep the rate limit, up to the sides' delays in reading the log")
{
    constexpr int Vms = 5;
    constexpr int Loads = 3 * Vms;
    constexpr duration Interval = 10s;
    constexpr duration Step = 10ms;
    orders_log log;
    unfenced_upstream upstreams[Vms];
    std::vector<order_process> processes;
    for (int vm = 0; vm < Vms; ++vm) {
        processes.push_back(
            {{vm_id("engines-" + std::to_string(vm)), weight_store_limiter(Interval, 1)}});
        processes.back().dispatcher.onRead(log.read(log_offset(1), Start), Start);
    }
    // The loads of a VM are of different kinds, so that none is superseded.
    for (int order = 0; order < Loads; ++order)
        log.append("engines-" + std::to_string(order % Vms), "o" + std::to_string(order),
                   static_cast<order_kind>(order / Vms));
    std::vector<time_point> startTimes;
    std::size_t receivedBefore = 0;
    for (time_point now = Start; now < Start + Loads * Interval; now += Step) {
        for (int vm = 0; vm < Vms; ++vm) {
            const duration delay = 50ms * vm;
            if (now - Start == delay)
                processes[vm].dispatcher.onRead(log.read(log_offset(1), now), now);
            processes[vm].runUntilIdle(log, upstreams[vm], now);
        }
        std::size_t received = 0;
        for (const unfenced_upstream &upstream : upstreams)
            received += upstream.received.size();
        startTimes.insert(startTimes.end(), received - receivedBefore, now);
        receivedBefore = received;
    }
    REQUIRE(startTimes.size() == Loads);
    for (std::size_t i = 1; i < startTimes.size(); ++i)
        CHECK(startTimes[i] - startTimes[i - 1] >= Interval - 50ms * (Vms - 1));
}

TEST_CASE("a restarted side")
{
    side_simulation simulation;
    simulation.log.append(Self, "a", order_kind::LoadModel, Wall);
    simulation.log.append(Self, "r", order_kind::ChangeRole, Wall);

    SUBCASE("does not send orders that are in force")
    {
        simulation.upstream.inForce = {{order_kind::LoadModel, "a"}, {order_kind::ChangeRole, "r"}};
        simulation.read(Start);
        simulation.runUntilIdle(Start + 60s);
        CHECK(simulation.upstream.received.empty());
        CHECK(simulation.stateOf("a") == order_state::Done);
        CHECK(simulation.stateOf("r") == order_state::Done);
    }
    SUBCASE("sends orders that are not in force")
    {
        simulation.upstream.inForce = {{order_kind::LoadModel, "a"}};
        simulation.read(Start);
        simulation.runUntilIdle(Start + 60s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{2});
    }
    SUBCASE("sends all orders again, in order, to an upstream that restarted")
    {
        simulation.read(Start);
        simulation.runUntilIdle(Start);
        simulation.upstream = {};
        simulation.runUntilIdle(Start + 60s);
        simulation.runUntilIdle(Start + 120s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1, 2});
    }
    SUBCASE("loads whose reserved time has passed are sent at once")
    {
        simulation.log.append(Self, "v", order_kind::LoadVersion, Wall);
        simulation.dispatcher.onRead(simulation.log.read(log_offset(1), Start, Wall + 3600), Start);
        simulation.runUntilIdle(Start);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1, 2, 3});
    }
    SUBCASE("an operator's clock that is ahead does not delay loads")
    {
        simulation.log.append(Other, "f", order_kind::LoadModel, Wall + 1'000'000);
        simulation.log.append(Self, "v", order_kind::LoadVersion, Wall);
        simulation.dispatcher.onRead(simulation.log.read(log_offset(1), Start, Wall), Start);
        simulation.runUntilIdle(Start);
        simulation.runUntilIdle(Start + 10s);
        simulation.runUntilIdle(Start + 30s);
        CHECK(simulation.upstream.received == std::vector<std::uint64_t>{1, 2, 4});
    }
}
