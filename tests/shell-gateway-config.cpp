// Tests of what the reads of the configuration's stream prove.
#include "support/null_store.hpp"
#include <platform/http_protocol.hpp>
#include <tamarackglade/batches/batch_schedule.hpp>
#include <tamarackglade/gateway/process/config_watch.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr char KeySeparator = '=';

/// Answers all reads at once. Its keyed records are written KEY=VALUE.
class memory_store final : public test::null_store
{
public:
    read_reply read(const stream_partition & /*partition*/, stream_position from,
                    std::chrono::milliseconds /*wait*/) override
    {
        if (from < firstKept)
            return {read_result::Lost, {}, firstKept, {}};
        if (from.value() > records.size())
            return {read_result::Read, stream_position(records.size()), firstKept, {}};
        const auto first = records.begin() + static_cast<std::ptrdiff_t>(from.value());
        return {read_result::Read, stream_position(records.size()), stream_position(0),
                std::vector<std::string>(first, records.end())};
    }
    newest_reply newest(const stream_partition & /*partition*/) override
    {
        newest_reply reply;
        reply.read = true;
        reply.records = snapshot;
        reply.end = firstKept;
        return reply;
    }
    [[nodiscard]] std::string encodeKeyed(const keyed_record &record) const override
    {
        return record.key + KeySeparator + record.value;
    }
    [[nodiscard]] std::optional<keyed_record> decodeKeyed(const std::string &content) const override
    {
        const auto separator = content.find(KeySeparator);
        return keyed_record{content.substr(0, separator), content.substr(separator + 1)};
    }

    std::vector<std::string> records;
    // Leaves only the newest record of each key.
    void loseHistory(std::vector<keyed_record> newestRecords)
    {
        records.emplace_back();
        firstKept = stream_position(records.size());
        snapshot = std::move(newestRecords);
    }

    stream_position firstKept; // reads of earlier positions are answered as lost
    std::vector<keyed_record> snapshot; // newest record of each key
};

/// Publishes configurations and lets a watch read them.
struct watched_stream
{
    watched_stream() : watch(store, protocol, 5s, requests, [](const forward_config &) {}) { }

    bool publish(const std::string &value)
    {
        store.records.push_back(store.encodeKeyed({protocol.configKey(), value}));
        return watch.refresh(bootNow(), 10s);
    }

    platform::http_protocol protocol;
    memory_store store;
    upstream_directory directory{directory_options()};
    metric_registry metrics;
    operator_requests requests{protocol, directory, metrics, [] {}};
    config_watch watch;
};

std::string configOfVersion(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

} // namespace

TEST_CASE("items aren't given up for a route that a configuration which can't be read may have")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        CHECK(stream.publish(configOfVersion(1)));
        CHECK_FALSE(stream.publish("{"));
        customer_batch job;
        job.firstReadAt = bootNow();
        CHECK_FALSE(stream.watch.refresh(bootNow(), 10s));
        CHECK_FALSE(routeWasRemoved(job, stream.watch.activeConfig().confirmedAt()));
        CHECK(stream.publish(configOfVersion(3)));
        CHECK(routeWasRemoved(job, stream.watch.activeConfig().confirmedAt()));
    });
}

TEST_CASE("a configuration that can't be read doesn't confirm the one before it")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        CHECK(stream.publish(configOfVersion(2)));
        const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
        CHECK_FALSE(stream.publish("not JSON"));
        CHECK_FALSE(stream.publish(configOfVersion(1)));
        CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
        CHECK(stream.watch.activeConfig().current()->version() == config_version(2));
    });
}

// Guards against withdrawn keys that run as the list of customers has become empty.
TEST_CASE(
    "a configuration with an empty list of customers needs keys, and one without a list doesn't")
{
    const platform::http_protocol protocol;
    const auto decoded = [&](const std::string &customers) {
        return *protocol.decodeConfig(R"({"version":2,"routes":[])" + customers + "}");
    };
    CHECK_FALSE(decoded("")->needsKeys());
    CHECK(decoded(R"(,"tenants":[])")->needsKeys());
    CHECK(decoded(R"(,"tenants":[{"name":"north","apiKeys":[]}])")->needsKeys());
    CHECK(decoded(R"(,"tenants":[{"name":"north","apiKeys":["k"]}])")->findByKey("k") != nullptr);
}

// Guards against keys that stay valid as the version of the configuration that lacks them counts as
// an older one.
TEST_CASE("a configuration whose version is no whole number confirms nothing")
{
    io_thread thread;
    thread.run([&] {
        int next = 1;
        for (const char *version : {"null", R"("9")", "[]", "{}", "true", "-1", "9.5", "1e300"}) {
            CAPTURE(version);
            watched_stream stream;
            CHECK(stream.publish(configOfVersion(next)));
            const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
            CHECK_FALSE(stream.publish(std::string(R"({"version":)") + version
                                       + R"(,"routes":[],"tenants":[]})"));
            CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
            CHECK(stream.publish(configOfVersion(++next)));
        }
    });
}

// Guards against keys that stay valid after their configuration has been taken out of the store.
TEST_CASE("a configuration that was removed isn't confirmed any more")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        CHECK(stream.publish(configOfVersion(1)));
        const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
        CHECK_FALSE(stream.publish(""));
        CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
        CHECK(stream.publish(configOfVersion(2)));
    });
}

// Guards against keys that work for key-freshness more, as their configuration is read together
// with the one that took them away and can't be read.
TEST_CASE("a configuration that is read with one that follows it and can't be read isn't confirmed")
{
    for (const std::string &next : {std::string("{"), std::string(),
                                    std::string(R"({"version":null,"routes":[],"tenants":[]})")}) {
        CAPTURE(next);
        io_thread thread;
        thread.run([&] {
            watched_stream stream;
            CHECK(stream.publish(configOfVersion(1)));
            const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
            stream.store.records.push_back(
                stream.store.encodeKeyed({stream.protocol.configKey(), configOfVersion(2)}));
            CHECK_FALSE(stream.publish(next));
            CHECK(stream.watch.activeConfig().current()->version() == config_version(2));
            CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
        });
    }
}

TEST_CASE("a snapshot without the configuration doesn't confirm it")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        CHECK(stream.publish(configOfVersion(1)));
        const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
        stream.store.loseHistory({{"evacuate/zone-a", "{}"}});
        CHECK_FALSE(stream.watch.refresh(bootNow(), 10s));
        CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
        stream.store.loseHistory({{stream.protocol.configKey(), configOfVersion(1)}});
        CHECK(stream.watch.refresh(bootNow(), 10s));
    });
}

namespace {

/// A configuration with each part that is read.
nlohmann::json wholeConfig()
{
    return nlohmann::json::parse(R"({"version":2,
        "routes":[{"name":"r","hostname":"a.example","pathPrefix":"/a/","kind":"batch",
                   "resumable":true,"public":false,"attempts":3,"timeoutMs":5000,
                   "targetLatencyMs":300,"priority":1,"completionTargetMs":18000,"retentionS":60,
                   "maxCount":5000,"trafficSplit":[{"service":"s","weight":90}]},
                  {"name":"q","hostname":"b.example","pathPrefix":"/b/","service":"s"}],
        "services":[{"name":"s","maxConnections":360,"coldPerS":2.5,"engine":{"slots":8}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000},
        "tenants":[]})");
}

} // namespace

// Guards against limits and weights of another type that are read as none.
TEST_CASE("a configuration with a value of another type can't be read")
{
    const platform::http_protocol protocol;
    const auto decoded = [&](const nlohmann::json &config) {
        return protocol.decodeConfig(config.dump());
    };
    REQUIRE(decoded(wholeConfig()).ok());
    const std::vector<std::string> places{
        "/routes",
        "/routes/0",
        "/routes/0/name",
        "/routes/0/hostname",
        "/routes/0/pathPrefix",
        "/routes/0/kind",
        "/routes/0/resumable",
        "/routes/0/public",
        "/routes/0/attempts",
        "/routes/0/timeoutMs",
        "/routes/0/targetLatencyMs",
        "/routes/0/priority",
        "/routes/0/completionTargetMs",
        "/routes/0/retentionS",
        "/routes/0/maxCount",
        "/routes/0/trafficSplit",
        "/routes/0/trafficSplit/0",
        "/routes/0/trafficSplit/0/service",
        "/routes/0/trafficSplit/0/weight",
        "/routes/1/service",
        "/services",
        "/services/0",
        "/services/0/name",
        "/services/0/maxConnections",
        "/services/0/coldPerS",
        "/services/0/engine",
        "/services/0/engine/slots",
        "/limits",
        "/limits/maxHeaderBytes",
        "/limits/maxBodyBytes",
        "/limits/headerTimeoutMs",
        "/limits/idleTimeoutMs",
    };
    const std::vector<nlohmann::json> odd{
        nullptr, "", -1, nlohmann::json::array({7}), {{"odd", 7}}};
    for (const std::string &place : places) {
        for (const nlohmann::json &value : odd) {
            nlohmann::json config = wholeConfig();
            nlohmann::json &changed = config[nlohmann::json::json_pointer(place)];
            // An object with no known field is a proper one where nothing in it is required.
            if (changed.is_object() && value.is_object() && !place.ends_with("/0"))
                continue;
            changed = value;
            CAPTURE(place);
            CAPTURE(value.dump());
            CHECK_FALSE(decoded(config).ok());
        }
    }
}

TEST_CASE("a configuration without a list of routes, or a route without a service, can't be read")
{
    const platform::http_protocol protocol;
    for (const char *place : {"/routes", "/routes/0/hostname", "/routes/0/pathPrefix",
                              "/routes/0/trafficSplit", "/routes/1/service"}) {
        const nlohmann::json removal{{{"op", "remove"}, {"path", place}}};
        CAPTURE(place);
        CHECK_FALSE(protocol.decodeConfig(wholeConfig().patch(removal).dump()).ok());
    }
}

TEST_CASE(
    "fields that a configuration leaves out have their defaults, and unknown ones are ignored")
{
    const platform::http_protocol protocol;
    const auto decoded = protocol.decodeConfig(
        R"({"version":2,"more":[7],"routes":[{"name":"r","hostname":"A.example","pathPrefix":"/a/",
            "service":"s","trafficSplit":[],"more":null}],"services":[{"name":"s"}]})");
    REQUIRE(decoded.ok());
    const forward_route *route = (*decoded)->findRoute("a.example", "/a/x");
    REQUIRE(route != nullptr);
    CHECK(route->kind == route_kind::Once);
    CHECK_FALSE(route->open);
    CHECK(route->attempts == 1);
    CHECK(route->groups == std::vector<weighted_group>{{group_id("s"), 1}});
    CHECK((*decoded)->limits().idleTimeout == caller_limits().idleTimeout);
}

// Guards against an evacuation that is in the store but has no effect.
TEST_CASE("evacuations follow the operators' records")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        const auto &evacuations = stream.directory.evacuations();
        const auto put = [&](const std::string &key, const std::string &value) {
            stream.store.records.push_back(stream.store.encodeKeyed({key, value}));
            return stream.watch.refresh(bootNow(), 10s);
        };
        CHECK(put("evacuate/zone-b", "{}"));
        CHECK(evacuations.zones() == std::set<zone_id>{zone_id("zone-b")});
        CHECK(put("evacuate/", "{}"));
        CHECK(put("evacuate/zone-c", "not JSON"));
        CHECK(evacuations.contains(zone_id("zone-c")));
        CHECK(put("evacuate/zone-b", ""));
        CHECK(evacuations.zones() == std::set<zone_id>{zone_id("zone-c")});
    });
}

TEST_CASE("a snapshot of the operators' records ends the evacuations that it lacks")
{
    watched_stream stream;
    const auto &evacuations = stream.directory.evacuations();
    stream.requests.onSnapshot({{"evacuate/a", "{}"}, {"evacuate/b", "{}"}, {"config", "{}"}});
    CHECK(evacuations.zones() == std::set<zone_id>{zone_id("a"), zone_id("b")});
    stream.requests.onSnapshot({{"config", "{}"}, {"evacuate/b", "{}"}});
    CHECK(evacuations.zones() == std::set<zone_id>{zone_id("b")});
}

// Guards against an operator who relies on a request that no code acts on.
TEST_CASE("operators' records without an effect are counted")
{
    watched_stream stream;
    const auto unknown = [&] {
        return stream.metrics.prometheusText().find("tamarack_unknown_operator_records 1")
               != std::string::npos;
    };
    stream.requests.onRecord({"config", "{}"});
    CHECK_FALSE(unknown());
    stream.requests.onRecord({"hibernate/zone-a", "{}"});
    CHECK(unknown());
    stream.requests.onRecord({"hibernate/zone-a", ""});
    CHECK_FALSE(unknown());
}

TEST_CASE("a log that ends before what was read confirms no keys, and is read from its snapshot")
{
    io_thread thread;
    thread.run([&] {
        watched_stream stream;
        CHECK(stream.publish(configOfVersion(1)));
        CHECK(stream.publish(configOfVersion(2)));
        const auto confirmedAt = stream.watch.activeConfig().confirmedAt();
        stream.store.records.clear();
        stream.store.snapshot = {{stream.protocol.configKey(), configOfVersion(3)}};
        CHECK_FALSE(stream.watch.refresh(bootNow(), 10s));
        CHECK(stream.watch.activeConfig().confirmedAt() == confirmedAt);
        CHECK(stream.watch.refresh(bootNow(), 10s));
        CHECK(stream.watch.activeConfig().current()->version() == config_version(3));
        CHECK(stream.watch.activeConfig().confirmedAt() > confirmedAt);
    });
}
