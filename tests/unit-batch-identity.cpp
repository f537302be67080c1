// Tests that jobs of several customers under one id stay apart, also beside the version before.
#include <tamarackglade/batches/batch_codec.hpp>
#include <tamarackglade/batches/batch_fold.hpp>
#include <tamarackglade/batches/batch_schedule.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

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
const std::vector<std::string> Customers{"north", "south", "east"};
const std::vector<std::string> Ids{"nightly", "weekly"};

batch_id batchOf(const std::string &customer, const std::string &job)
{
    return {customer_id(customer), job_id(job)};
}

std::string acceptedRecord(const batch_id &id, std::size_t items)
{
    schema::batch_accepted_message record;
    record.job = id.job.value();
    record.customer = id.customer.value();
    record.route = "checks";
    record.due_ms = 18'000;
    record.retention_ms = 60'000;
    record.attempts = 3;
    for (std::size_t i = 0; i < items; ++i) {
        auto item = std::make_unique<schema::accepted_item_message>();
        item->id = id.customer.value() + std::to_string(i);
        item->tokens = 10;
        record.items.push_back(std::move(item));
    }
    return encodeBatchRecord(std::move(record));
}

// A record as this version writes it.
std::string finishedRecord(const batch_fold &fold, const batch_id &id, std::uint32_t item)
{
    schema::item_finished_message record;
    fold.nameJob(record, id);
    record.item = item;
    return encodeBatchRecord(std::move(record));
}

// A record of the version before, which names jobs by their id alone.
std::string oldFinishedRecord(const std::string &job, std::uint32_t item)
{
    schema::item_finished_message record;
    record.job = job;
    record.item = item;
    return encodeBatchRecord(std::move(record));
}

std::string endedRecord(const batch_fold &fold, const batch_id &id)
{
    schema::batch_ended_message record;
    fold.nameJob(record, id);
    return encodeBatchRecord(std::move(record));
}

/// Folds as the version before did: a job is its id, and the first one accepted under it stays.
class former_fold
{
public:
    void apply(const std::string &bytes)
    {
        const auto record = decodeBatchRecord(bytes);
        REQUIRE(record.has_value());
        if (const auto *accepted = record->body.Asbatch_accepted())
            m_jobs.try_emplace(accepted->job,
                               former_job{accepted->customer, accepted->items.size(), {}});
        if (const auto *finished = record->body.Asitem_finished()) {
            const auto found = m_jobs.find(finished->job);
            if (found != m_jobs.end() && finished->item < found->second.items)
                found->second.add(finished->item);
        }
    }

    struct former_job
    {
        std::string customer;
        std::size_t items;
        std::vector<std::size_t> results;

        void add(std::size_t item)
        {
            if (std::find(results.begin(), results.end(), item) == results.end())
                results.push_back(item);
        }
    };

    [[nodiscard]] const std::map<std::string, former_job> &jobs() const { return m_jobs; }

private:
    std::map<std::string, former_job> m_jobs;
};

} // namespace

TEST_CASE("jobs of two customers under one id in one partition don't share items or results")
{
    batch_fold fold(60s);
    const batch_id north = batchOf("north", "nightly");
    const batch_id south = batchOf("south", "nightly");
    fold.apply(acceptedRecord(north, 2), Start);
    fold.apply(acceptedRecord(south, 200), Start);
    REQUIRE(fold.find(north) != nullptr);
    REQUIRE(fold.find(south) != nullptr);
    CHECK(fold.find(batchOf("east", "nightly")) == nullptr);
    fold.apply(finishedRecord(fold, south, 199), Start);
    fold.apply(finishedRecord(fold, north, 1), Start);
    fold.apply(finishedRecord(fold, north, 199), Start);
    CHECK(fold.find(north)->results == std::vector<std::size_t>{1});
    CHECK(fold.find(south)->results == std::vector<std::size_t>{199});
    fold.apply(endedRecord(fold, south), Start);
    CHECK(fold.find(north)->open());
    CHECK_FALSE(fold.find(south)->open());
    CHECK(fold.waitingTokens(north.customer, "checks") == 10);
    CHECK(fold.waitingTokens(south.customer, "checks") == 0);
}

TEST_CASE("items of jobs under one id are listed once each, from one partition or from two")
{
    for (const bool inOne : {true, false}) {
        CAPTURE(inOne);
        batch_fold first(60s);
        batch_fold second(60s);
        first.apply(acceptedRecord(batchOf("north", "nightly"), 2), Start);
        (inOne ? first : second).apply(acceptedRecord(batchOf("south", "nightly"), 5), Start);
        first.confirm(Start);
        second.confirm(Start);
        const item_groups groups{
            [](const customer_batch &) { return std::vector<group_id>(1); },
            [](const customer_batch &, const batch_item_key &) { return group_id(); }};
        item_owners owners(vm_id("a"));
        owners.setGateways({vm_id("a")});
        const auto items =
            itemsToStart({&first, &second}, owners, groups, {}, {}, Start, Start, 100);
        CHECK(items.size() == 7);
        CHECK(std::set<batch_item_key>(items.begin(), items.end()).size() == 7);
    }
}

TEST_CASE("a removed job no longer is the first under its id")
{
    batch_fold fold(60s);
    fold.apply(acceptedRecord(batchOf("north", "nightly"), 1), Start);
    fold.apply(finishedRecord(fold, batchOf("north", "nightly"), 0), Start);
    fold.tick(Start + 61s);
    fold.apply(acceptedRecord(batchOf("south", "nightly"), 1), Start + 62s);
    fold.apply(oldFinishedRecord("nightly", 0), Start + 62s);
    CHECK(fold.find(batchOf("south", "nightly"))->results.size() == 1);
}

TEST_CASE("during a release both versions read the same results of each job that both know")
{
    const bool held = rc::check([] {
        batch_fold fold(60s);
        former_fold former;
        const auto steps = *rc::gen::inRange(1, 40);
        std::map<batch_id, std::set<std::size_t>> written;
        for (int i = 0; i < steps; ++i) {
            const batch_id id = batchOf(*rc::gen::elementOf(Customers), *rc::gen::elementOf(Ids));
            const auto item = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
            std::string record;
            const auto known = former.jobs().find(id.job.value());
            const bool isFirst =
                known != former.jobs().end() && known->second.customer == id.customer.value();
            if (fold.find(id) == nullptr)
                record = acceptedRecord(id, 3);
            else if (isFirst && *rc::gen::arbitrary<bool>())
                record = oldFinishedRecord(id.job.value(), item);
            else
                record = finishedRecord(fold, id, item);
            if (fold.find(id) != nullptr && item < 3)
                written[id].insert(item);
            fold.apply(record, Start);
            former.apply(record);
        }
        for (const auto &[name, job] : former.jobs()) {
            const customer_batch *same = fold.find(batchOf(job.customer, name));
            RC_ASSERT(same != nullptr);
            RC_ASSERT(same->results == job.results);
        }
        for (const auto &[id, items] : written) {
            const auto &results = fold.find(id)->results;
            RC_ASSERT(std::set<std::size_t>(results.begin(), results.end()) == items);
        }
    });
    CHECK(held);
}
