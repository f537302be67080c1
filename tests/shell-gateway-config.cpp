// Tests of what the reads of the configuration's stream prove.
#include "support/null_store.hpp"
#include <platform/http_protocol.hpp>
#include <tamarackglade/batches/batch_schedule.hpp>
#include <tamarackglade/gateway/process/config_watch.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <doctest/doctest.h>

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
