// Tests of routes, keys and the age of the active configuration.
#include <tamarackglade/forward/active_config.hpp>
#include <tamarackglade/forward/group_choice.hpp>

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

forward_route routeAt(const std::string &name, const std::string &host, const std::string &prefix)
{
    forward_route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.groups = {{group_id("engines"), 1}};
    return route;
}

forward_customer customerWith(const std::string &id, std::vector<std::string> keys)
{
    forward_customer customer;
    customer.id = customer_id(id);
    customer.keys = std::move(keys);
    return customer;
}

std::shared_ptr<const forward_config> configOf(std::uint64_t version)
{
    return std::make_shared<const forward_config>(
        config_version(version),
        std::vector{routeAt("all", "a.example", "/"), routeAt("one", "a.example", "/one/"),
                    routeAt("deep", "a.example", "/one/two/"),
                    routeAt("other", "b.example", "/one/")},
        customer_list{{customerWith("north", {"k1", "k2"}), customerWith("south", {"k3"})}, {}},
        std::vector{forward_group{group_id("engines"), 8, 360}}, caller_limits());
}

std::string routeName(const forward_config &config, const char *host, const char *path)
{
    const forward_route *route = config.findRoute(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    const auto config = configOf(1);
    CHECK(routeName(*config, "a.example", "/one/two/x") == "deep");
    CHECK(routeName(*config, "a.example", "/one/two/") == "deep");
    CHECK(routeName(*config, "a.example", "/one/two") == "one");
    CHECK(routeName(*config, "a.example", "/one") == "all");
    CHECK(routeName(*config, "a.example", "/onerous/x") == "all");
    CHECK(routeName(*config, "b.example", "/one/x") == "other");
    CHECK(routeName(*config, "b.example", "/two/") == "none");
    CHECK(routeName(*config, "c.example", "/one/") == "none");
    CHECK(routeName(*config, "a.example", "") == "none");
}

TEST_CASE("a key belongs to one customer")
{
    const auto config = configOf(1);
    CHECK(config->findByKey("k2")->id == customer_id("north"));
    CHECK(config->findByKey("k3")->id == customer_id("south"));
    CHECK(config->findByKey("k4") == nullptr);
    CHECK(config->findByKey("") == nullptr);
    CHECK(config->needsKeys());
}

// Guards against a list of customers that lost its last entry and so opens the service to
// everybody.
TEST_CASE("only a configuration without a list of customers needs no keys")
{
    const auto configWith = [](std::optional<customer_list> customers) {
        return forward_config(config_version(1), {routeAt("all", "a.example", "/")},
                              std::move(customers), {}, caller_limits());
    };
    CHECK_FALSE(configWith(std::nullopt).needsKeys());
    CHECK(configWith(customer_list()).needsKeys());
    CHECK(configWith(customer_list{{customerWith("north", {})}, {}}).needsKeys());
    CHECK(configWith(customer_list()).findByKey("") == nullptr);
}

TEST_CASE("an older configuration never replaces a newer one")
{
    active_config activeConfig;
    CHECK(activeConfig.current() == nullptr);
    CHECK(activeConfig.accept(configOf(7)));
    CHECK_FALSE(activeConfig.accept(configOf(5)));
    CHECK(activeConfig.current()->version() == config_version(7));
    CHECK_FALSE(activeConfig.accept(configOf(7)));
    CHECK(activeConfig.accept(configOf(9)));
}

TEST_CASE("the age of a confirmation counts from when its read was sent")
{
    active_config activeConfig;
    const time_point start{};
    activeConfig.confirm(start);
    CHECK_FALSE(activeConfig.confirmedAt());
    activeConfig.accept(configOf(1));
    CHECK_FALSE(activeConfig.confirmedAt());
    activeConfig.confirm(start);
    CHECK(activeConfig.freshWithin(5s, start + 4'999ms));
    CHECK_FALSE(activeConfig.freshWithin(5s, start + 5s));
    activeConfig.confirm(start + 3s);
    CHECK(activeConfig.freshWithin(5s, start + 7s));
    // An answer that arrives late confirms no time after its read was sent.
    activeConfig.confirm(start + 1s);
    CHECK(activeConfig.confirmedAt() == start + 3s);
}

TEST_CASE("a split route is followed by weight, and groups that can't be used are left out")
{
    const std::vector<weighted_group> groups{{group_id("a"), 10}, {group_id("b"), 90}};
    std::map<group_id, int> chosen;
    std::map<group_id, int> chosenWithoutB;
    const auto isA = [](const group_id &group) { return group == group_id("a"); };
    for (int i = 0; i < 10'000; ++i) {
        const request_id id("r" + std::to_string(i));
        ++chosen[chooseGroup(groups, id)];
        ++chosenWithoutB[chooseUsableGroup(groups, id, isA)];
        const auto none = [](const group_id &) { return false; };
        CHECK(chooseUsableGroup(groups, id, none) == chooseGroup(groups, id));
    }
    CHECK(chosen[group_id("a")] > 900);
    CHECK(chosen[group_id("a")] < 1'100);
    CHECK(chosenWithoutB[group_id("a")] == 10'000);
    const std::vector<weighted_group> unused{{group_id("a"), 0}, {group_id("b"), 1}};
    CHECK(chooseUsableGroup(unused, request_id("r"), isA) == group_id("b"));
}
