// Tests of routing: candidates, strategies, ejection and slow start.
#include <tamarackglade/routing/router.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{1h};
const time_point Later = Start + 1min; // past the slow start

upstream_id nameOf(int i)
{
    return upstream_id("u" + std::to_string(i));
}

router makeRouter(int upstreams, const routing_options &options,
                  routing_mutation mutation = routing_mutation::None)
{
    router result(options, std::mt19937_64(1), mutation);
    std::vector<upstream_info> infos;
    infos.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i)
        infos.push_back({nameOf(i), group_id("g"), zone_id("z"), {"m"}});
    result.setUpstreams(infos);
    for (int i = 0; i < upstreams; ++i)
        result.onConnected(nameOf(i), Start);
    return result;
}

route_query queryOf(std::uint64_t prefixHash = 0)
{
    return {group_id("g"), model_id("m"), schema::call_class::Online, prefixHash, {}};
}

void fail(router &routes, const upstream_id &upstream, int times, time_point now)
{
    for (int i = 0; i < times; ++i) {
        routes.onAttemptStarted(upstream, now);
        routes.onAttemptEnded(upstream, attempt_result::Failed, now);
    }
}

/// @return whether a leaving upstream is chosen
bool choosesLeavingUpstream(routing_mutation mutation)
{
    auto routes = makeRouter(2, {}, mutation);
    routes.onLeaving(nameOf(0), true, Start);
    for (int i = 0; i < 100; ++i) {
        if (routes.choose(queryOf(), Later) == nameOf(0))
            return true;
    }
    return false;
}

/// @return how many of four upstreams are still chosen after all have failed
std::size_t chosenWhenAllFail(routing_mutation mutation)
{
    routing_options options;
    options.strategy = routing_strategy_kind::Random;
    auto routes = makeRouter(4, options, mutation);
    for (int i = 0; i < 4; ++i)
        fail(routes, nameOf(i), 5, Later);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) {
        if (const auto upstream = routes.choose(queryOf(), Later))
            ++chosen[upstream->value()];
    }
    return chosen.size();
}

} // namespace

TEST_CASE("leaving upstreams are not chosen")
{
    CHECK_FALSE(choosesLeavingUpstream(routing_mutation::None));
    CHECK(choosesLeavingUpstream(routing_mutation::IgnoreLeaving));

    auto routes = makeRouter(1, {});
    schema::load_report_message report;
    report.state = schema::upstream_state::Leaving;
    routes.onReport(nameOf(0), report);
    CHECK_FALSE(routes.choose(queryOf(), Later));
}

TEST_CASE("candidates")
{
    auto routes = makeRouter(2, {});
    SUBCASE("serve the group and the model")
    {
        auto other = queryOf();
        other.model = model_id("x");
        CHECK_FALSE(routes.choose(other, Later));
        other = queryOf();
        other.group = group_id("x");
        CHECK_FALSE(routes.choose(other, Later));
    }
    SUBCASE("are connected and not excluded")
    {
        routes.onDisconnected(nameOf(0));
        CHECK(routes.choose(queryOf(), Later) == nameOf(1));
        auto query = queryOf();
        query.excluded = {nameOf(1)};
        CHECK_FALSE(routes.choose(query, Later));
    }
    SUBCASE("keep their state when the configuration changes")
    {
        routes.onAttemptStarted(nameOf(0), Later);
        routes.setUpstreams({{nameOf(0), group_id("g"), zone_id("z"), {"m"}}});
        CHECK(routes.loadOf(nameOf(0)) == 1);
        CHECK(routes.choose(queryOf(), Later) == nameOf(0));
    }
}

TEST_CASE("load is the last report, corrected by calls of this process since")
{
    auto routes = makeRouter(1, {});
    schema::load_report_message report;
    report.online_active = 7;
    routes.onAttemptStarted(nameOf(0), Later);
    routes.onReport(nameOf(0), report);
    CHECK(routes.loadOf(nameOf(0)) == 7);
    routes.onAttemptStarted(nameOf(0), Later);
    CHECK(routes.loadOf(nameOf(0)) == 8);
    routes.onAttemptEnded(nameOf(0), attempt_result::Succeeded, Later);
    routes.onAttemptEnded(nameOf(0), attempt_result::Succeeded, Later);
    CHECK(routes.loadOf(nameOf(0)) == 6);
}

TEST_CASE("ejection")
{
    SUBCASE("excludes an upstream after consecutive failures, then probes it once")
    {
        auto routes = makeRouter(4, {});
        fail(routes, nameOf(0), 5, Later);
        CHECK(routes.isEjected(nameOf(0), Later));
        const auto due = Later + 2s;
        CHECK_FALSE(routes.isEjected(nameOf(0), due));
        routes.onAttemptStarted(nameOf(0), due);
        CHECK(routes.isEjected(nameOf(0), due));
        routes.onAttemptEnded(nameOf(0), attempt_result::Failed, due);
        CHECK(routes.isEjected(nameOf(0), due + 3s));
        CHECK_FALSE(routes.isEjected(nameOf(0), due + 4s));
        routes.onAttemptStarted(nameOf(0), due + 4s);
        routes.onAttemptEnded(nameOf(0), attempt_result::Succeeded, due + 4s);
        CHECK_FALSE(routes.isEjected(nameOf(0), due + 4s));
    }
    SUBCASE("excludes an upstream at a high error rate")
    {
        auto routes = makeRouter(4, {});
        for (int i = 0; i < 40; ++i) {
            fail(routes, nameOf(0), 2, Later);
            routes.onAttemptStarted(nameOf(0), Later);
            routes.onAttemptEnded(nameOf(0), attempt_result::Succeeded, Later);
        }
        CHECK(routes.isEjected(nameOf(0), Later));
    }
    SUBCASE("refusals are not failures")
    {
        auto routes = makeRouter(1, {});
        for (int i = 0; i < 50; ++i) {
            routes.onAttemptStarted(nameOf(0), Later);
            routes.onAttemptEnded(nameOf(0), attempt_result::Refused, Later);
        }
        CHECK_FALSE(routes.isEjected(nameOf(0), Later));
    }
    SUBCASE("affects at most half of a group")
    {
        CHECK(chosenWhenAllFail(routing_mutation::None) == 2);
        CHECK(chosenWhenAllFail(routing_mutation::EjectAll) == 0);
    }
}

TEST_CASE("strategies")
{
    routing_options options;
    SUBCASE("prefix affinity chooses the same upstream for the same prefix")
    {
        auto routes = makeRouter(8, options);
        const auto first = routes.choose(queryOf(99), Later);
        for (int i = 0; i < 10; ++i)
            CHECK(routes.choose(queryOf(99), Later) == first);
    }
    SUBCASE("prefix affinity bounds the load of an upstream")
    {
        auto routes = makeRouter(8, options);
        std::map<std::string, int> chosen;
        for (int i = 0; i < 80; ++i) {
            const auto upstream = routes.choose(queryOf(99), Later);
            routes.onAttemptStarted(*upstream, Later);
            ++chosen[upstream->value()];
        }
        for (const auto &[id, count] : chosen)
            CHECK(count <= 14); // 1.25 times the mean of 10, rounded up, plus one
    }
    SUBCASE("two choices balance the load")
    {
        options.strategy = routing_strategy_kind::TwoChoices;
        auto routes = makeRouter(8, options);
        std::map<std::string, int> chosen;
        for (int i = 0; i < 800; ++i) {
            const auto upstream = routes.choose(queryOf(), Later);
            routes.onAttemptStarted(*upstream, Later);
            ++chosen[upstream->value()];
        }
        for (const auto &[id, count] : chosen)
            CHECK(std::abs(count - 100) <= 4);
    }
    SUBCASE("an upstream that returns starts with a small share of the calls")
    {
        options.strategy = routing_strategy_kind::TwoChoices;
        auto routes = makeRouter(2, options);
        routes.onDisconnected(nameOf(0));
        routes.onConnected(nameOf(0), Later);
        int chosen = 0;
        for (int i = 0; i < 110; ++i) {
            const auto upstream = routes.choose(queryOf(), Later);
            routes.onAttemptStarted(*upstream, Later);
            chosen += upstream == nameOf(0) ? 1 : 0;
        }
        CHECK(chosen >= 5);
        CHECK(chosen <= 15);
    }
    SUBCASE("an upstream in the own zone is preferred at equal load")
    {
        options.strategy = routing_strategy_kind::TwoChoices;
        options.zone = zone_id("z");
        router routes(options, std::mt19937_64(1));
        routes.setUpstreams({{nameOf(0), group_id("g"), zone_id("y"), {}},
                             {nameOf(1), group_id("g"), zone_id("z"), {}}});
        routes.onConnected(nameOf(0), Start);
        routes.onConnected(nameOf(1), Start);
        for (int i = 0; i < 20; ++i)
            CHECK(routes.choose(queryOf(), Later) == nameOf(1));
    }
}
