// Tests of the fold of batch jobs, the schedule of their items and the packing of contents.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/batches/batch_schedule.hpp>
#include <tamarackglade/batches/content_packing.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
const customer_id North("north");

batch_id batchOf(const std::string &job)
{
    return {North, job_id(job)};
}

content_place placeOf(std::uint64_t position)
{
    return {0, stream_position(position), 1, 4};
}

std::string acceptedRecord(const std::string &job, std::size_t count, std::uint64_t dueMs = 18'000,
                           const std::string &customer = North.value())
{
    schema::batch_accepted_message record;
    record.job = job;
    record.customer = customer;
    record.route = "checks";
    record.due_ms = dueMs;
    record.retention_ms = 60'000;
    record.attempts = 3;
    for (std::size_t i = 0; i < count; ++i) {
        auto item = std::make_unique<schema::accepted_item_message>();
        item->id = "item" + std::to_string(i);
        item->tokens = 100;
        item->content = encodePlace(placeOf(i));
        record.items.push_back(std::move(item));
    }
    return encodeBatchRecord(std::move(record));
}

std::string finishedRecord(const std::string &job, std::uint32_t item, std::uint64_t output,
                           bool abandoned = false)
{
    schema::item_finished_message record;
    record.job = job;
    record.item = item;
    record.abandoned = abandoned;
    record.output = encodePlace(placeOf(output));
    return encodeBatchRecord(std::move(record));
}

std::string failedRecord(const std::string &job, std::uint32_t item, const std::string &run,
                         const std::string &upstream = "engine")
{
    schema::item_failed_message record;
    record.job = job;
    record.item = item;
    record.run = run;
    record.upstream = upstream;
    return encodeBatchRecord(std::move(record));
}

std::string endedRecord(const std::string &job)
{
    schema::batch_ended_message record;
    record.job = job;
    return encodeBatchRecord(std::move(record));
}

// All items are for the same upstreams.
item_groups oneGroup()
{
    return {[](const customer_batch &) { return std::vector<group_id>(1); },
            [](const customer_batch &, const batch_item_key &) { return group_id(); }};
}

item_owners ownersOf(const vm_id &self, const std::vector<vm_id> &gateways)
{
    item_owners owners(self);
    owners.setGateways(gateways);
    return owners;
}

std::vector<batch_item_key> itemsToStart(const std::vector<const batch_fold *> &folds,
                                         const vm_id &self, const std::vector<vm_id> &gateways,
                                         const std::set<batch_item_key> &begun,
                                         const std::set<batch_item_key> &running,
                                         time_point currentSince, time_point now,
                                         std::size_t maxItems)
{
    item_owners owners = ownersOf(self, gateways);
    return itemsToStart(folds, owners, oneGroup(), begun, running, currentSince, now, maxItems);
}

} // namespace

TEST_CASE("the first result of an item is kept, and its place doesn't change")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 3), Start);
    fold.apply(finishedRecord("j", 2, 12), Start);
    fold.apply(finishedRecord("j", 0, 10), Start);
    fold.apply(finishedRecord("j", 2, 13), Start);
    fold.apply(finishedRecord("j", 0, 14, true), Start);
    const customer_batch &job = *fold.find(batchOf("j"));
    CHECK(job.results == std::vector<std::size_t>{2, 0});
    CHECK(job.items[2].output == placeOf(12));
    CHECK(job.items[0].state == batch_item_state::Done);
    CHECK(job.items[1].content == placeOf(1));
    CHECK(job.open());
    CHECK(fold.end() == stream_position(5));
}

TEST_CASE("a route counts as removed only if the configuration was read after the job")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 1), Start + 10s);
    const customer_batch &job = *fold.find(batchOf("j"));
    CHECK_FALSE(routeWasRemoved(job, std::nullopt));
    CHECK_FALSE(routeWasRemoved(job, Start + 9s));
    CHECK(routeWasRemoved(job, Start + 10s));
}

TEST_CASE("a job is accepted once")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 2), Start);
    fold.apply(finishedRecord("j", 0, 10), Start);
    fold.apply(acceptedRecord("j", 2), Start + 1s);
    CHECK(fold.find(batchOf("j"))->results.size() == 1);
    CHECK(fold.waitingTokens(North, "checks") == 100);
    CHECK(fold.waitingTokens(North, "other") == 0);
}

TEST_CASE("an ended job stays readable, and none of its items wait")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 2), Start);
    fold.apply(finishedRecord("j", 1, 11), Start);
    fold.apply(endedRecord("j"), Start);
    CHECK_FALSE(fold.find(batchOf("j"))->open());
    CHECK(fold.find(batchOf("j"))->results.size() == 1);
    CHECK(fold.waitingTokens(North, "checks") == 0);
    fold.tick(Start + 59s);
    CHECK(fold.find(batchOf("j")) != nullptr);
    fold.tick(Start + 61s);
    CHECK(fold.find(batchOf("j")) == nullptr);
}

TEST_CASE("each failed run counts once, and an item without attempts left is abandoned")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 2), Start);
    fold.apply(failedRecord("j", 1, "a"), Start);
    fold.apply(failedRecord("j", 1, "a"), Start);
    fold.apply(failedRecord("j", 1, "b"), Start);
    CHECK_FALSE(mustAbandon(*fold.find(batchOf("j")), 1, Start));
    fold.apply(failedRecord("j", 1, "c"), Start);
    CHECK(mustAbandon(*fold.find(batchOf("j")), 1, Start));
    CHECK_FALSE(mustAbandon(*fold.find(batchOf("j")), 0, Start + 59s));
    CHECK(mustAbandon(*fold.find(batchOf("j")), 0, Start + 61s));
}

TEST_CASE("an abandoned item has no text, whatever its record names")
{
    batch_fold fold(10min);
    fold.apply(acceptedRecord("a", 1), Start);
    fold.apply(finishedRecord("a", 0, 5, true), Start);
    const batch_job_item &item = fold.find(batchOf("a"))->items.front();
    CHECK(item.state == batch_item_state::Abandoned);
    CHECK(item.output.isEmpty());
}

TEST_CASE("the pause before a retry grows with each failure, and failed upstreams are listed")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 1), Start);
    const auto startable = [&](time_point now) {
        return !itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, {}, Start, now, 100).empty();
    };
    fold.confirm(Start);
    CHECK(startable(Start));
    fold.apply(failedRecord("j", 0, "first", "one"), Start);
    CHECK_FALSE(startable(Start + 499ms));
    CHECK(startable(Start + 500ms));
    fold.apply(failedRecord("j", 0, "second", "two"), Start + 1s);
    CHECK_FALSE(startable(Start + 2'900ms));
    CHECK(startable(Start + 3s));
    const batch_job_item &item = fold.find(batchOf("j"))->items[0];
    CHECK(failedUpstreams(item) == std::set{upstream_id("one"), upstream_id("two")});
}

namespace {

/// Simulates a job's items at four upstreams, one of which fails all of them immediately and
/// therefore has the most free slots.
/// @param usesFailures whether failures affect the choice of upstreams and the pauses
/// @return the number of abandoned items
unsigned simulateFailingUpstream(bool usesFailures)
{
    constexpr unsigned Items = 60;
    upstream_directory directory{directory_options()};
    for (const char *id : {"failing", "b", "c", "d"}) {
        live_upstream upstream;
        upstream.id = upstream_id(id);
        upstream.group = group_id("engines");
        upstream.zone = zone_id("a");
        upstream.slots = 4;
        directory.put(upstream);
    }
    placement_options options;
    options.zone = zone_id("a");
    peer_table peers{gateway_member(), shared_rate_options()};
    upstream_rates rates(vm_id("g"), peers);
    slot_allocator allocator(directory, rates, options, 1);
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", Items), Start);
    std::map<batch_item_key, std::pair<upstream_id, time_point>>
        runs; // upstream and end of each run
    unsigned abandoned = 0;
    unsigned runNumber = 0;
    for (time_point now = Start; now < Start + 20s; now += 10ms) {
        fold.confirm(now);
        for (auto run = runs.begin(); run != runs.end();) {
            const auto &[upstream, endsAt] = run->second;
            if (now < endsAt) {
                ++run;
                continue;
            }
            const std::uint32_t item = run->first.item.value();
            const bool failed = upstream == upstream_id("failing");
            allocator.release(upstream, work_class::Batch);
            if (failed && usesFailures)
                allocator.onFault(upstream, attempt_fault::Failed, now);
            fold.apply(failed
                           ? failedRecord("j", item, std::to_string(++runNumber), upstream.value())
                           : finishedRecord("j", item, item),
                       usesFailures ? now : Start - 60s);
            run = runs.erase(run);
        }
        std::set<batch_item_key> busy;
        for (const auto &[key, run] : runs)
            busy.insert(key);
        const customer_batch &job = *fold.find(batchOf("j"));
        for (const batch_item_key &key :
             itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, busy, now, now, 8)) {
            if (mustAbandon(job, key.item.value(), now)) {
                ++abandoned;
                fold.apply(finishedRecord("j", key.item.value(), 0, true), now);
                continue;
            }
            const auto failedAt = usesFailures ? failedUpstreams(job.items[key.item.value()])
                                               : std::set<upstream_id>();
            placement_request placement;
            placement.group = group_id("engines");
            placement.work = work_class::Batch;
            placement.excluded = failedAt;
            const auto upstream = allocator.pick(placement, now);
            if (!upstream)
                continue;
            allocator.acquire(*upstream, work_class::Batch, now);
            const bool fails = *upstream == upstream_id("failing");
            runs.emplace(key, std::pair(*upstream, now + (fails ? 10ms : 800ms)));
        }
    }
    return abandoned;
}

} // namespace

TEST_CASE("one upstream that fails all items causes no item to be abandoned")
{
    CHECK(simulateFailingUpstream(true) == 0);
    CHECK(simulateFailingUpstream(false) > 10);
}

TEST_CASE("contents are split by the store's limits and joined again")
{
    const bool held = rc::check("contents are split and joined", [] {
        const store_limits limits{10, 40};
        const auto contents = *rc::gen::container<std::vector<std::string>>(
            rc::gen::resize(40, rc::gen::arbitrary<std::string>()));
        const auto appends = packContents(contents, limits);
        RC_ASSERT(appends.has_value());
        std::size_t at = 0;
        for (const content_append &append : *appends) {
            std::size_t size = 0;
            for (const std::string &record : append.records) {
                RC_ASSERT(record.size() <= limits.maxRecordBytes);
                size += record.size();
            }
            RC_ASSERT(size <= limits.maxAppendBytes);
            for (const content_place &place : append.places) {
                const auto first = static_cast<std::ptrdiff_t>(place.position.value());
                const std::vector<std::string> read(append.records.begin() + first,
                                                    append.records.end());
                RC_ASSERT(joinContent(place, read) == contents[at++]);
            }
        }
        RC_ASSERT(at == contents.size());
    });
    CHECK(held);
    CHECK_FALSE(packContents({std::string(41, 'x')}, store_limits{10, 40}));
}

TEST_CASE("missing records or a wrong size give no content")
{
    CHECK_FALSE(joinContent({0, {}, 2, 4}, {"ab"}));
    CHECK_FALSE(joinContent({0, {}, 2, 4}, {"ab", "c"}));
    CHECK(joinContent({0, {}, 2, 4}, {"ab", "cd", "ef"}) == "abcd");
    CHECK(joinContent({0, {}, 0, 0}, {}) == "");
}

TEST_CASE("no item is started from a fold that may lack records")
{
    // After a start of the process, records that finish items or end jobs may be several pages
    // after the acceptance.
    batch_fold fold(60s);
    const std::vector<vm_id> gateways{vm_id("a")};
    const auto startable = [&](time_point now) {
        return itemsToStart({&fold}, vm_id("a"), gateways, {}, {}, now - 2s, now, 100).size();
    };
    fold.apply(acceptedRecord("j", 3), Start);
    fold.apply(acceptedRecord("k", 3), Start);
    CHECK(startable(Start) == 0);
    fold.apply(endedRecord("j"), Start);
    fold.apply(finishedRecord("k", 0, 9), Start);
    fold.confirm(Start);
    CHECK(startable(Start) == 2);
    CHECK(startable(Start + 2s) == 2);
    CHECK(startable(Start + 3s) == 0);
    fold.confirm(Start + 3s);
    CHECK(startable(Start + 3s) == 2);
}

TEST_CASE("malformed records only advance the position")
{
    batch_fold fold(60s);
    CHECK_FALSE(fold.apply("", Start));
    CHECK_FALSE(fold.apply("no record at all, but longer than a header", Start));
    CHECK(fold.end() == stream_position(2));
    CHECK(fold.apply(finishedRecord("unknown", 0, 1), Start));
    CHECK(fold.apply(acceptedRecord("j", 1), Start));
    CHECK(fold.apply(finishedRecord("j", 7, 1), Start));
    CHECK(fold.find(batchOf("j"))->results.empty());
}

TEST_CASE("each item has one owner, and items are ordered by due time")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("late", 20, 30'000), Start);
    fold.apply(acceptedRecord("soon", 20, 10'000), Start);
    fold.confirm(Start);
    const std::vector<vm_id> gateways{vm_id("a"), vm_id("b"), vm_id("c")};
    std::set<batch_item_key> all;
    for (const vm_id &gateway : gateways) {
        const auto items = itemsToStart({&fold}, gateway, gateways, {}, {}, Start, Start, 100);
        CHECK(std::is_sorted(items.begin(), items.end(), [](const auto &x, const auto &y) {
            return x.batch == batchOf("soon") && y.batch == batchOf("late");
        }));
        all.insert(items.begin(), items.end());
        CHECK(items.size() > 4);
    }
    CHECK(all.size() == 40);
}

TEST_CASE("a gateway that isn't in the list of gateways starts no items")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 3), Start);
    fold.confirm(Start);
    CHECK(itemsToStart({&fold}, vm_id("a"), {}, {}, {}, Start, Start, 100).empty());
    CHECK(itemsToStart({&fold}, vm_id("a"), {vm_id("b")}, {}, {}, Start, Start, 100).empty());
}

TEST_CASE("each item has one owner whichever gateways come and go")
{
    constexpr std::size_t Gateways = 133;
    std::vector<vm_id> gateways;
    gateways.reserve(Gateways);
    for (std::size_t i = 0; i < Gateways; ++i)
        gateways.emplace_back("g" + std::to_string(i));
    std::vector<item_owners> owners;
    owners.reserve(Gateways);
    for (const vm_id &gateway : gateways)
        owners.emplace_back(gateway);
    for (const std::size_t count : {Gateways, std::size_t(100), Gateways, std::size_t(1)}) {
        const std::vector<vm_id> present(gateways.begin(),
                                         gateways.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<std::uint32_t> owned;
        for (item_owners &each : owners) {
            each.setGateways(present);
            const auto &own = each.ownItems(batchOf("j"), 500);
            owned.insert(owned.end(), own.begin(), own.end());
        }
        std::sort(owned.begin(), owned.end());
        CHECK(owned.size() == 500);
        CHECK(std::adjacent_find(owned.begin(), owned.end()) == owned.end());
    }
}

TEST_CASE("owners are forgotten with their jobs")
{
    batch_fold fold(60s);
    item_owners owners = ownersOf(vm_id("a"), {vm_id("a")});
    fold.apply(acceptedRecord("j", 3), Start);
    fold.apply(acceptedRecord("k", 3), Start);
    fold.confirm(Start);
    CHECK(itemsToStart({&fold}, owners, oneGroup(), {}, {}, Start, Start, 100).size() == 6);
    CHECK(owners.size() == 2);
    fold.apply(endedRecord("j"), Start);
    for (int round = 0; round < 2; ++round)
        CHECK(itemsToStart({&fold}, owners, oneGroup(), {}, {}, Start, Start, 100).size() == 3);
    CHECK(owners.size() == 1);
}

TEST_CASE("running items aren't started again")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 3), Start);
    fold.confirm(Start);
    const std::set<batch_item_key> running{{batchOf("j"), item_index(1)}};
    CHECK(itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, running, Start, Start, 100).size()
          == 2);
    CHECK(itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, running, Start, Start, 1).size()
          == 1);
}

TEST_CASE("items that wait for one group don't stand before those of others")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("soon", 100, 1'000), Start);
    fold.apply(acceptedRecord("late", 5, 30'000), Start);
    fold.confirm(Start);
    const auto groupOfJob = [](const customer_batch &job) { return group_id(job.id.job.value()); };
    const item_groups groups{
        [&](const customer_batch &job) { return std::vector<group_id>{groupOfJob(job)}; },
        [&](const customer_batch &job, const batch_item_key &) { return groupOfJob(job); }};
    item_owners owners = ownersOf(vm_id("a"), {vm_id("a")});
    const auto items = itemsToStart({&fold}, owners, groups, {}, {}, Start, Start, 8);
    const auto count = [&](const std::string &job) {
        return std::count_if(items.begin(), items.end(),
                             [&](const auto &each) { return each.batch == batchOf(job); });
    };
    CHECK(count("soon") == 8);
    CHECK(count("late") == 5);
}

TEST_CASE("a customer's thousand items don't hold up another's ten past their due time")
{
    constexpr std::size_t Slots = 8;
    constexpr std::chrono::seconds RunTime{1};
    batch_fold fold(120s);
    for (int job = 0; job < 5; ++job)
        fold.apply(acceptedRecord("large" + std::to_string(job), 200, 18'000), Start);
    fold.apply(acceptedRecord("small", 10, 20'000, "south"), Start);
    const batch_id small{customer_id("south"), job_id("small")};
    time_point now = Start;
    std::size_t finished = 0;
    for (; fold.find(small)->open() && now < Start + 200s; now += RunTime) {
        fold.confirm(now);
        auto items = itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, {}, now, now, Slots);
        items.resize(std::min(items.size(), Slots));
        finished += items.size();
        for (const batch_item_key &key : items)
            fold.apply(finishedRecord(key.batch.job.value(), key.item.value(), 1), now);
    }
    CHECK(now <= Start + 20s);
    CHECK(finished == static_cast<std::size_t>((now - Start) / RunTime) * Slots);
}

TEST_CASE("a customer whose items run waits for those that have none running")
{
    batch_fold fold(120s);
    fold.apply(acceptedRecord("early", 10, 18'000), Start);
    fold.apply(acceptedRecord("late", 10, 20'000, "south"), Start);
    fold.confirm(Start);
    const auto keyOf = [](const customer_id &customer, const char *job, std::uint32_t item) {
        return batch_item_key{{customer, job_id(job)}, item_index(item)};
    };
    const customer_id south("south");
    const std::set<batch_item_key> running{keyOf(North, "early", 0), keyOf(North, "early", 1)};
    const auto items =
        itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, running, Start, Start, 5);
    CHECK(items
          == std::vector{keyOf(south, "late", 0), keyOf(south, "late", 1), keyOf(North, "early", 2),
                         keyOf(south, "late", 2), keyOf(North, "early", 3)});
}

TEST_CASE("items with a part of their text are listed first and beyond the maximum")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord("j", 3), Start);
    fold.confirm(Start);
    const auto all = itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, {}, {}, Start, Start, 100);
    REQUIRE(all.size() == 3);
    const std::set<batch_item_key> begun{all.back()};
    const auto items = itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, begun, {}, Start, Start, 1);
    REQUIRE(items.size() == 2);
    CHECK(items[0] == all.back());
    CHECK(items[1] == all.front());
    CHECK(itemsToStart({&fold}, vm_id("a"), {vm_id("b")}, begun, {}, Start, Start, 1).empty());
    CHECK(itemsToStart({&fold}, vm_id("a"), {vm_id("a")}, begun, begun, Start, Start, 1).size()
          == 1);
}

TEST_CASE("repeated and late records change no result")
{
    const bool held = rc::check("repeated and late records change no result", [] {
        batch_fold fold(60s);
        fold.apply(acceptedRecord("j", 4), Start);
        std::vector<std::pair<std::size_t, content_place>> listed;
        const auto steps = *rc::gen::inRange(1, 30);
        for (int i = 0; i < steps; ++i) {
            const auto item = *rc::gen::inRange<std::uint32_t>(0, 4);
            const auto output = *rc::gen::inRange<std::uint64_t>(0, 1000);
            fold.apply(finishedRecord("j", item, output), Start);
            const customer_batch &job = *fold.find(batchOf("j"));
            for (std::size_t place = 0; place < listed.size(); ++place) {
                RC_ASSERT(job.results[place] == listed[place].first);
                RC_ASSERT(job.items[listed[place].first].output == listed[place].second);
            }
            listed.clear();
            for (const std::size_t result : job.results)
                listed.emplace_back(result, job.items[result].output);
        }
    });
    CHECK(held);
}
