// Tests of claim_policy, deficit_round_robin, item_scheduler, partition_owner and attempt_name.
#include "support/jobs_records.hpp"
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/claim_policy.hpp>
#include <tamarackglade/jobs/partition_owner.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

const upstream_id UpstreamA("ua");
const upstream_id UpstreamB("ub");
const model_id Model("m");

/// A partition owner with one job "j"; records the actions of the owner by type.
struct owner_fixture
{
    folded_stream stream;
    time_point now{1000s};
    std::uint64_t wallS = 1000;
    owner_options options;
    std::unique_ptr<partition_owner> owner;
    std::vector<start_item> starts;
    std::vector<cancel_attempt> cancels;
    std::vector<append_batch> appends;
    bool released = false;
    bool lost = false;

    explicit owner_fixture(std::uint32_t items)
    {
        stream.claim(1);
        stream.file("f", items);
        stream.accept("j", "f", items, 1);
    }

    void createOwner() { owner = std::make_unique<partition_owner>(stream.fold, options, now); }

    void recordActions(owner_actions actions)
    {
        for (auto &action : actions) {
            if (auto *start = std::get_if<start_item>(&action))
                starts.push_back(*start);
            else if (auto *cancel = std::get_if<cancel_attempt>(&action))
                cancels.push_back(*cancel);
            else if (auto *append = std::get_if<append_batch>(&action))
                appends.push_back(std::move(*append));
            else if (std::holds_alternative<released_partition>(action))
                released = true;
            else
                lost = true;
        }
    }

    void advance(duration time)
    {
        now += time;
        owner_actions actions;
        owner->onTailConfirmed(now, actions);
        owner->tick(now, wallS, actions);
        recordActions(std::move(actions));
    }

    void sendCredits(const upstream_id &upstream, std::uint32_t items)
    {
        owner_actions actions;
        owner->onCredits(upstream, Model, items, now, actions);
        recordActions(std::move(actions));
    }

    void finishAttempt(const attempt_id &attempt, attempt_outcome outcome)
    {
        owner_actions actions;
        owner->onAttemptResult(attempt, outcome, {'a'}, "i", now, actions);
        recordActions(std::move(actions));
    }

    void notifyFolded(const fold_changes &changes)
    {
        owner_actions actions;
        owner->onFolded(changes, now, actions);
        recordActions(std::move(actions));
    }

    void finishAppend(append_outcome outcome)
    {
        owner_actions actions;
        owner->onAppendResult(appends.back().batch.record_id, outcome, now, actions);
        recordActions(std::move(actions));
    }

    /// Folds the last append and notifies the owner.
    void foldLastAppend() { notifyFolded(stream.append(appends.back().batch)); }

    [[nodiscard]] const batch_job &job() const { return *stream.job("j"); }
};

std::vector<live_vm> liveVms(std::initializer_list<const char *> names)
{
    std::vector<live_vm> view;
    for (const auto *name : names)
        view.push_back({vm_id(name), incarnation_number(1), false});
    return view;
}

} // namespace

TEST_CASE("claim policy")
{
    folded_stream stream;
    claim_policy first(partition_id(0), vm_id("a"), incarnation_number(1));
    claim_policy second(partition_id(0), vm_id("b"), incarnation_number(1));
    time_point now{100s};
    const auto setLiveVms = [&](std::vector<live_vm> view) {
        first.onLiveVms(view);
        second.onLiveVms(std::move(view));
    };
    SUBCASE("one VM claims at once, the other after a delay")
    {
        setLiveVms(liveVms({"a", "b"}));
        const bool one = first.decide(stream.fold, now).has_value();
        const bool two = second.decide(stream.fold, now).has_value();
        CHECK(one != two);
        CHECK((one ? second : first).decide(stream.fold, now + 4s).has_value());
    }
    SUBCASE("does not claim a partition with a live owner")
    {
        stream.claim(1, "c");
        setLiveVms(liveVms({"a", "b", "c"}));
        CHECK_FALSE(first.decide(stream.fold, now));
        CHECK_FALSE(second.decide(stream.fold, now));
        SUBCASE("until the owner times out")
        {
            now += 14s;
            CHECK(first.decide(stream.fold, now).has_value());
            CHECK(first.decide(stream.fold, now) == std::nullopt);
        }
        SUBCASE("while the owner sends heartbeats")
        {
            first.onOwnerAlive(now + 10s);
            CHECK_FALSE(first.decide(stream.fold, now + 14s));
        }
        SUBCASE("until the owner is leaving and the handover grace has passed")
        {
            auto view = liveVms({"a", "b", "c"});
            view.back().leaving = true;
            setLiveVms(view);
            first.onOwnerAlive(now + 20s);
            CHECK_FALSE(first.decide(stream.fold, now + 1s));
            CHECK(first.decide(stream.fold, now + 10s).has_value());
        }
        SUBCASE("until the owner has handed over")
        {
            first.onOwnerReleased(epoch_number(1));
            const auto claim = first.decide(stream.fold, now);
            REQUIRE(claim);
            CHECK(claim->epoch == epoch_number(2));
        }
        SUBCASE("until a newer process runs on the owner's VM")
        {
            auto view = liveVms({"a", "b", "c"});
            view.back().incarnation = incarnation_number(2);
            setLiveVms(view);
            CHECK_FALSE((first.decide(stream.fold, now) && second.decide(stream.fold, now)));
            CHECK(first.decide(stream.fold, now + 7s).has_value());
        }
    }
    SUBCASE("a leaving VM claims nothing")
    {
        auto view = liveVms({"a"});
        view.front().leaving = true;
        setLiveVms(view);
        CHECK_FALSE(first.decide(stream.fold, now + 60s));
    }
}

TEST_CASE("deficit round robin serves by weight")
{
    deficit_round_robin ring;
    ring.set(customer_id("a"), 3);
    ring.set(customer_id("b"), 1);
    std::map<customer_id, int> served;
    for (int turn = 0; turn < 400; ++turn)
        ++served[*ring.next([](const auto &) { return true; })];
    CHECK(served[customer_id("a")] == 300);
    CHECK(served[customer_id("b")] == 100);
    const auto onlyB = [](const customer_id &customer) { return customer == customer_id("b"); };
    CHECK(ring.next(onlyB) == customer_id("b"));
    CHECK(ring.next([](const auto &) { return false; }) == std::nullopt);
}

TEST_CASE("scheduler")
{
    folded_stream stream;
    stream.claim(1);
    for (const auto *id : {"late", "soon", "other"}) {
        stream.file(id, 2, id == std::string("other") ? "d" : "c");
        const auto windowS = id == std::string("late") ? 600U : 60U;
        const auto *customer = id == std::string("other") ? "d" : "c";
        stream.append(
            acceptBatch(folded_stream::request(id, id, 2, stableHash(id), customer, windowS)));
    }
    item_scheduler scheduler(stream.fold);
    for (const auto &[id, job] : stream.fold.jobs())
        scheduler.addJob(job);
    const time_point now{1s};
    std::vector<std::string> order;
    while (const auto item = scheduler.next(Model, now))
        order.push_back(item->job.value());
    CHECK(order == std::vector<std::string>{"soon", "other", "soon", "other", "late", "late"});
    SUBCASE("returns a retry when it is ready")
    {
        scheduler.retry({job_id("late"), item_index(1)}, now + 1s);
        CHECK_FALSE(scheduler.next(Model, now));
        CHECK(scheduler.nextRetry() == now + 1s);
        CHECK(scheduler.next(Model, now + 1s)->item == item_index(1));
    }
    SUBCASE("ignores a retry of a removed job")
    {
        scheduler.removeJob(job_id("late"));
        scheduler.retry({job_id("late"), item_index(1)}, now);
        CHECK_FALSE(scheduler.next(Model, now));
    }
    CHECK_FALSE(scheduler.next(model_id("unknown"), now));
}

TEST_CASE("owner")
{
    owner_fixture fixture(3);

    SUBCASE("starts no more items than the credits and commits results in a group")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 2);
        REQUIRE(fixture.starts.size() == 2);
        CHECK(fixture.starts[1].attempt == attempt_id("j:1:1:1"));
        CHECK(fixture.starts[1].input.line == 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.finishAttempt(fixture.starts[1].attempt, attempt_outcome::Rejected);
        CHECK(fixture.appends.empty());
        fixture.advance(250ms);
        REQUIRE(fixture.appends.size() == 1);
        CHECK(fixture.appends[0].batch.records.size() == 2);
        fixture.foldLastAppend();
        CHECK(fixture.job().succeeded == 1);
        CHECK(fixture.job().failed == 1);
        CHECK(fixture.owner->uncommittedCount() == 0);
    }
    SUBCASE("resends an append of unknown outcome with the same record id")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.advance(250ms);
        fixture.finishAppend(append_outcome::Unknown);
        fixture.advance(500ms);
        REQUIRE(fixture.appends.size() == 2);
        CHECK(fixture.appends[0].batch.record_id == fixture.appends[1].batch.record_id);
        fixture.foldLastAppend();
        fixture.notifyFolded(fixture.stream.append(fixture.appends[0].batch));
        fixture.advance(10s);
        CHECK(fixture.appends.size() == 2);
        CHECK(fixture.job().succeeded == 1);
    }
    SUBCASE("gives a failing item an error result after maxFailures attempts")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        for (std::uint32_t number = 1; number <= fixture.options.maxFailures; ++number) {
            CHECK(fixture.starts.back().attempt.value() == "j:0:1:" + std::to_string(number));
            fixture.finishAttempt(fixture.starts.back().attempt, attempt_outcome::Transient);
            fixture.advance(4s);
            if (number < fixture.options.maxFailures)
                fixture.sendCredits(UpstreamA, 1);
        }
        REQUIRE(fixture.appends.size() == 1);
        fixture.foldLastAppend();
        CHECK(fixture.job().failed == 1);
    }
    SUBCASE("does not count attempts that did not start")
    {
        fixture.createOwner();
        for (int tries = 0; tries < 10; ++tries) {
            fixture.sendCredits(UpstreamA, 1);
            CHECK(fixture.starts.back().item.item == item_index(0));
            fixture.finishAttempt(fixture.starts.back().attempt, attempt_outcome::NotStarted);
            fixture.advance(1s);
        }
        CHECK(fixture.appends.empty());
    }
    SUBCASE("runs poison suspects alone and fails only the item that crashes again")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 3);
        REQUIRE(fixture.starts.size() == 3);
        for (int item = 0; item < 3; ++item)
            fixture.finishAttempt(fixture.starts[item].attempt, attempt_outcome::WorkerLost);
        fixture.advance(5s);
        fixture.sendCredits(UpstreamA, 3);
        fixture.sendCredits(UpstreamB, 3);
        for (int round = 0; round < 3; ++round) {
            const auto start = fixture.starts.back();
            CHECK(fixture.starts.size() == std::size_t(4 + round));
            CHECK(start.alone);
            const bool isPoison = start.item.item == item_index(1);
            fixture.finishAttempt(start.attempt, isPoison ? attempt_outcome::WorkerLost
                                                          : attempt_outcome::Succeeded);
            fixture.sendCredits(UpstreamB, 3);
        }
        fixture.advance(10s);
        fixture.foldLastAppend();
        CHECK(fixture.job().succeeded == 2);
        CHECK(fixture.job().failed == 1);
        CHECK_FALSE(fixture.job().results[1].flag());
        CHECK(fixture.starts[3].upstream == UpstreamA);
    }
    SUBCASE("cancels an attempt that times out, but accepts its late success")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        fixture.advance(11min);
        CHECK(fixture.cancels.size() == 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.advance(1s);
        fixture.foldLastAppend();
        CHECK(fixture.job().succeeded == 1);
        fixture.sendCredits(UpstreamA, 9);
        CHECK(fixture.starts.size() == 3); // the first item, and the two remaining ones
    }
    SUBCASE("ignores a repeated result")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.advance(1s);
        CHECK(fixture.appends.at(0).batch.records.size() == 1);
    }
    SUBCASE("cancels attempts, starts nothing and drops results after a cancel")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 2);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.notifyFolded(fixture.stream.append(cancelBatch(job_id("j"), "x", 1)));
        REQUIRE(fixture.cancels.size() == 1);
        CHECK(fixture.cancels[0].attempt == fixture.starts[1].attempt);
        fixture.sendCredits(UpstreamA, 9);
        fixture.finishAttempt(fixture.starts[1].attempt, attempt_outcome::Succeeded);
        fixture.advance(10s);
        CHECK(fixture.starts.size() == 2);
        CHECK(fixture.appends.empty());
        CHECK(fixture.owner->uncommittedCount() == 0);
    }
    SUBCASE("handles a cancel while results are being appended")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.advance(1s);
        fixture.notifyFolded(fixture.stream.append(cancelBatch(job_id("j"), "x", 1)));
        fixture.foldLastAppend();
        CHECK(fixture.job().succeeded == 0);
        CHECK(fixture.owner->uncommittedCount() == 0);
        CHECK_FALSE(fixture.owner->hasQueuedAppends());
    }
    SUBCASE("drops all attempts and results when another VM claims the partition")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 2);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.notifyFolded(fixture.stream.claim(2, "other"));
        CHECK(fixture.lost);
        CHECK(fixture.cancels.size() == 1);
        fixture.sendCredits(UpstreamA, 9);
        fixture.finishAttempt(fixture.starts[1].attempt, attempt_outcome::Succeeded);
        fixture.advance(10s);
        CHECK(fixture.starts.size() == 2);
        CHECK(fixture.appends.empty());
    }
    SUBCASE("starts nothing while it may have missed a cancel")
    {
        fixture.createOwner();
        fixture.now += 4s;
        fixture.sendCredits(UpstreamA, 1);
        CHECK(fixture.starts.empty());
        owner_actions actions;
        fixture.owner->onOutageConfirmed(fixture.now,
                                         actions); // paused when the log went down
        CHECK(actions.empty());
        fixture.advance(0s);
        CHECK(fixture.starts.size() == 1);
    }
    SUBCASE("continues during an outage if the fold was up to date when it began")
    {
        fixture.createOwner();
        owner_actions actions;
        for (int second = 0; second < 60; ++second) {
            fixture.now += 1s;
            fixture.owner->onOutageConfirmed(fixture.now, actions);
        }
        fixture.sendCredits(UpstreamA, 1);
        CHECK(fixture.starts.size() == 1);
    }
    SUBCASE("pauses at maxUncommitted and continues once the results are folded")
    {
        fixture.options.maxUncommitted = 1;
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 9);
        CHECK(fixture.starts.size() == 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        fixture.advance(1s);
        CHECK(fixture.starts.size() == 1);
        fixture.foldLastAppend();
        CHECK(fixture.starts.size() == 2);
    }
    SUBCASE("hands over when all attempts have ended and all results are folded")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 1);
        owner_actions actions;
        fixture.owner->beginHandover(fixture.now, actions);
        fixture.recordActions(std::move(actions));
        fixture.sendCredits(UpstreamA, 9);
        CHECK(fixture.starts.size() == 1);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        REQUIRE(fixture.appends.size() == 1);
        CHECK_FALSE(fixture.released);
        fixture.foldLastAppend();
        CHECK(fixture.released);
    }
    SUBCASE("expires an ended job only after resultRetentionS")
    {
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 3);
        for (int item = 0; item < 3; ++item)
            fixture.finishAttempt(fixture.starts[item].attempt, attempt_outcome::Succeeded);
        fixture.advance(1s);
        fixture.foldLastAppend();
        fixture.wallS = 1000 + 60 + fixture.options.resultRetentionS - 1;
        fixture.advance(10s);
        CHECK(fixture.appends.size() == 1);
        fixture.wallS += 10;
        fixture.advance(10s);
        REQUIRE(fixture.appends.size() == 2);
        fixture.foldLastAppend();
        CHECK(fixture.stream.job("j") == nullptr);
    }
    SUBCASE("starts the items that an earlier owner left open")
    {
        fixture.stream.result("j", 1, 1);
        fixture.stream.claim(2, "other");
        fixture.createOwner();
        fixture.sendCredits(UpstreamA, 9);
        REQUIRE(fixture.starts.size() == 2);
        CHECK(fixture.starts[0].attempt == attempt_id("j:0:2:1"));
        CHECK(fixture.starts[1].attempt == attempt_id("j:2:2:1"));
    }
    SUBCASE("returns its next deadline")
    {
        fixture.createOwner();
        CHECK_FALSE(fixture.owner->nextDeadline());
        fixture.sendCredits(UpstreamA, 1);
        CHECK(fixture.owner->nextDeadline() == fixture.now + fixture.options.attemptTimeout);
        fixture.finishAttempt(fixture.starts[0].attempt, attempt_outcome::Succeeded);
        CHECK(fixture.owner->nextDeadline() == fixture.now + fixture.options.groupCommit.maxDelay);
    }
}

TEST_CASE("attempt ids")
{
    const attempt_name name{{job_id("j"), item_index(7)}, epoch_number(3), 2};
    const auto parsed = attempt_name::parse(name.toId());
    REQUIRE(parsed);
    CHECK(parsed->item == name.item);
    CHECK(parsed->epoch == epoch_number(3));
    CHECK(parsed->number == 2);
    CHECK_FALSE(attempt_name::parse(attempt_id("j:7:x:2")));
    CHECK_FALSE(attempt_name::parse(attempt_id("nonsense")));
}
