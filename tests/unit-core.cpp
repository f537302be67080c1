// Tests of ids, timers, hashes, partitions and log records.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/core/partition.hpp>
#include <tamarackglade/core/timer_service.hpp>
#include <tamarackglade/schema/records.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

TEST_CASE("timer service")
{
    timer_service timers;
    std::vector<int> ran;
    const time_point start{};

    SUBCASE("runs callbacks in order of expiry")
    {
        timers.subscribe(start + 2s, [&](time_point) { ran.push_back(2); });
        timers.subscribe(start + 1s, [&](time_point) { ran.push_back(1); });
        timers.advance(start + 3s);
        CHECK(ran == std::vector<int>{1, 2});
        CHECK_FALSE(timers.nextExpiry());
    }
    SUBCASE("does not run what was cancelled")
    {
        const auto handle = timers.subscribe(start + 1s, [&](time_point) { ran.push_back(1); });
        timers.cancel(handle);
        timers.advance(start + 3s);
        CHECK(ran.empty());
    }
    SUBCASE("repeats until cancelled")
    {
        const auto handle =
            timers.subscribeEvery(start + 1s, 1s, [&](time_point) { ran.push_back(1); });
        timers.advance(start + 3s);
        CHECK(ran.size() == 3);
        timers.cancel(handle);
        timers.advance(start + 9s);
        CHECK(ran.size() == 3);
    }
    SUBCASE("a callback may cancel itself")
    {
        timer_service::timer_handle handle = 0;
        handle = timers.subscribeEvery(start + 1s, 1s, [&](time_point) { timers.cancel(handle); });
        timers.advance(start + 9s);
        CHECK_FALSE(timers.nextExpiry());
    }
}

TEST_CASE("stable hash")
{
    SUBCASE("never changes between versions")
    {
        CHECK(stableHash("") == 3244421341483603138ULL);
    }
    SUBCASE("depends on the seed")
    {
        CHECK(stableHash("a", 1) != stableHash("a", 2));
    }
}

TEST_CASE("partitions")
{
    CHECK(partitionOf(customer_id("shire"), 16) == partitionOf(customer_id("shire"), 16));
    CHECK(partitionOf(customer_id("shire"), 16).value() < 16);
    CHECK(jobStreamName(partition_id(3)) == "jobs-3");
    CHECK(callStreamName(partition_id(2)) == "calls-2");
    const auto ofKey = partitionOfKey(customer_id("shire"), "notice-1", 4);
    CHECK(ofKey == partitionOfKey(customer_id("shire"), "notice-1", 4));
    CHECK(ofKey.value() < 4);
}

TEST_CASE("log records")
{
    SUBCASE("survive encoding")
    {
        schema::log_batch_message batch;
        batch.record_id = "r1";
        schema::key_withdrawn_message withdrawn;
        withdrawn.key_id = "k1";
        addRecord(batch, withdrawn);
        const auto decoded = decodeBatch(encodeBatch(batch));
        REQUIRE(decoded.ok());
        REQUIRE(decoded->records.size() == 1);
        CHECK(decoded->records[0]->body.Askey_withdrawn()->key_id == "k1");
    }
    SUBCASE("malformed bytes are an error")
    {
        CHECK_FALSE(decodeBatch("nonsense").ok());
        CHECK_FALSE(decodeBatch("").ok());
    }
}
