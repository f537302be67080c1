// Tests of the claim policy, the scheduler and the partition's owner.
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

/// An owner of one partition whose actions are kept by kind.
struct owner_bench
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

    explicit owner_bench(std::uint32_t items)
    {
        stream.claim(1);
        stream.file("f", items);
        stream.accept("j", "f", items, 1);
    }

    void own() { owner = std::make_unique<partition_owner>(stream.fold, options, now); }

    void keep(owner_actions actions)
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

    void wait(duration time)
    {
        now += time;
        owner_actions actions;
        owner->onTailConfirmed(now, actions);
        owner->tick(now, wallS, actions);
        keep(std::move(actions));
    }

    void credits(const upstream_id &upstream, std::uint32_t items)
    {
        owner_actions actions;
        owner->onCredits(upstream, Model, items, now, actions);
        keep(std::move(actions));
    }

    void answer(const attempt_id &attempt, attempt_outcome outcome)
    {
        owner_actions actions;
        owner->onAttemptResult(attempt, outcome, {'a'}, "i", now, actions);
        keep(std::move(actions));
    }

    void folded(const fold_changes &changes)
    {
        owner_actions actions;
        owner->onFolded(changes, now, actions);
        keep(std::move(actions));
    }

    void appendResult(append_outcome outcome)
    {
        owner_actions actions;
        owner->onAppendResult(appends.back().batch.record_id, outcome, now, actions);
        keep(std::move(actions));
    }

    /// Lands the last append and shows it to the owner.
    void landLast() { folded(stream.land(appends.back().batch)); }

    [[nodiscard]] const batch_job &job() const { return *stream.job("j"); }
};

std::vector<live_vm> vms(std::initializer_list<const char *> names)
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
    const auto look = [&](std::vector<live_vm> view) {
        first.onLiveView(view);
        second.onLiveView(std::move(view));
    };
    SUBCASE("one VM claims at once, the other only if that one doesn't")
    {
        look(vms({"a", "b"}));
        const bool one = first.decide(stream.fold, now).has_value();
        const bool two = second.decide(stream.fold, now).has_value();
        CHECK(one != two);
        CHECK((one ? second : first).decide(stream.fold, now + 4s).has_value());
    }
    SUBCASE("an owner that is there is left alone")
    {
        stream.claim(1, "c");
        look(vms({"a", "b", "c"}));
        CHECK_FALSE(first.decide(stream.fold, now));
        CHECK_FALSE(second.decide(stream.fold, now));
        SUBCASE("until it is silent for too long")
        {
            now += 14s;
            CHECK(first.decide(stream.fold, now).has_value());
            CHECK(first.decide(stream.fold, now) == std::nullopt);
        }
        SUBCASE("while it is heard")
        {
            first.onOwnerAlive(now + 10s);
            CHECK_FALSE(first.decide(stream.fold, now + 14s));
        }
        SUBCASE("until it leaves and its grace has passed")
        {
            auto view = vms({"a", "b", "c"});
            view.back().leaving = true;
            look(view);
            first.onOwnerAlive(now + 20s);
            CHECK_FALSE(first.decide(stream.fold, now + 1s));
            CHECK(first.decide(stream.fold, now + 10s).has_value());
        }
        SUBCASE("until it has handed over")
        {
            first.onOwnerReleased(epoch_number(1));
            const auto claim = first.decide(stream.fold, now);
            REQUIRE(claim);
            CHECK(claim->next == epoch_number(2));
        }
        SUBCASE("until a newer process runs on its VM")
        {
            auto view = vms({"a", "b", "c"});
            view.back().incarnation = incarnation_number(2);
            look(view);
            CHECK_FALSE((first.decide(stream.fold, now) && second.decide(stream.fold, now)));
            CHECK(first.decide(stream.fold, now + 7s).has_value());
        }
    }
    SUBCASE("a leaving VM claims nothing")
    {
        auto view = vms({"a"});
        view.front().leaving = true;
        look(view);
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
        stream.land(
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
    SUBCASE("offers a retry when it is ready")
    {
        scheduler.retry({job_id("late"), item_index(1)}, now + 1s);
        CHECK_FALSE(scheduler.next(Model, now));
        CHECK(scheduler.nextRetry() == now + 1s);
        CHECK(scheduler.next(Model, now + 1s)->item == item_index(1));
    }
    SUBCASE("forgets a removed job")
    {
        scheduler.removeJob(job_id("late"));
        scheduler.retry({job_id("late"), item_index(1)}, now);
        CHECK_FALSE(scheduler.next(Model, now));
    }
    CHECK_FALSE(scheduler.next(model_id("unknown"), now));
}

TEST_CASE("owner")
{
    owner_bench bench(3);

    SUBCASE("starts no more than the credits and commits results in a group")
    {
        bench.own();
        bench.credits(UpstreamA, 2);
        REQUIRE(bench.starts.size() == 2);
        CHECK(bench.starts[1].attempt == attempt_id("j:1:1:1"));
        CHECK(bench.starts[1].input.line == 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.answer(bench.starts[1].attempt, attempt_outcome::Rejected);
        CHECK(bench.appends.empty());
        bench.wait(250ms);
        REQUIRE(bench.appends.size() == 1);
        CHECK(bench.appends[0].batch.records.size() == 2);
        bench.landLast();
        CHECK(bench.job().succeeded == 1);
        CHECK(bench.job().failed == 1);
        CHECK(bench.owner->uncommittedCount() == 0);
    }
    SUBCASE("sends an append of unknown outcome again under the same record id")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.wait(250ms);
        bench.appendResult(append_outcome::Unknown);
        bench.wait(500ms);
        REQUIRE(bench.appends.size() == 2);
        CHECK(bench.appends[0].batch.record_id == bench.appends[1].batch.record_id);
        bench.landLast();
        bench.folded(bench.stream.land(bench.appends[0].batch));
        bench.wait(10s);
        CHECK(bench.appends.size() == 2);
        CHECK(bench.job().succeeded == 1);
    }
    SUBCASE("tries a failing item so often, then settles it with an error")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        for (std::uint32_t number = 1; number <= bench.options.maxFailures; ++number) {
            CHECK(bench.starts.back().attempt.value() == "j:0:1:" + std::to_string(number));
            bench.answer(bench.starts.back().attempt, attempt_outcome::Transient);
            bench.wait(4s);
            if (number < bench.options.maxFailures)
                bench.credits(UpstreamA, 1);
        }
        REQUIRE(bench.appends.size() == 1);
        bench.landLast();
        CHECK(bench.job().failed == 1);
    }
    SUBCASE("doesn't count tries that never started")
    {
        bench.own();
        for (int tries = 0; tries < 10; ++tries) {
            bench.credits(UpstreamA, 1);
            CHECK(bench.starts.back().item.item == item_index(0));
            bench.answer(bench.starts.back().attempt, attempt_outcome::NotStarted);
            bench.wait(1s);
        }
        CHECK(bench.appends.empty());
    }
    SUBCASE("runs the suspects of a crash alone, elsewhere, and convicts only the guilty one")
    {
        bench.own();
        bench.credits(UpstreamA, 3);
        REQUIRE(bench.starts.size() == 3);
        for (int item = 0; item < 3; ++item)
            bench.answer(bench.starts[item].attempt, attempt_outcome::WorkerLost);
        bench.wait(5s);
        bench.credits(UpstreamA, 3);
        bench.credits(UpstreamB, 3);
        for (int round = 0; round < 3; ++round) {
            const auto start = bench.starts.back();
            CHECK(bench.starts.size() == std::size_t(4 + round));
            CHECK(start.alone);
            const bool isPoison = start.item.item == item_index(1);
            bench.answer(start.attempt,
                         isPoison ? attempt_outcome::WorkerLost : attempt_outcome::Succeeded);
            bench.credits(UpstreamB, 3);
        }
        bench.wait(10s);
        bench.landLast();
        CHECK(bench.job().succeeded == 2);
        CHECK(bench.job().failed == 1);
        CHECK_FALSE(bench.job().results[1].flag());
        CHECK(bench.starts[3].upstream == UpstreamA);
    }
    SUBCASE("gives up an attempt that never answers, yet takes its late success")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        bench.wait(11min);
        CHECK(bench.cancels.size() == 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.wait(1s);
        bench.landLast();
        CHECK(bench.job().succeeded == 1);
        bench.credits(UpstreamA, 9);
        CHECK(bench.starts.size() == 3); // the first, and the two items that are left
    }
    SUBCASE("ignores a repeated result")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.wait(1s);
        CHECK(bench.appends.at(0).batch.records.size() == 1);
    }
    SUBCASE("on a cancel stops attempts, starts nothing and drops results")
    {
        bench.own();
        bench.credits(UpstreamA, 2);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.folded(bench.stream.land(cancelBatch(job_id("j"), "x", 1)));
        REQUIRE(bench.cancels.size() == 1);
        CHECK(bench.cancels[0].attempt == bench.starts[1].attempt);
        bench.credits(UpstreamA, 9);
        bench.answer(bench.starts[1].attempt, attempt_outcome::Succeeded);
        bench.wait(10s);
        CHECK(bench.starts.size() == 2);
        CHECK(bench.appends.empty());
        CHECK(bench.owner->uncommittedCount() == 0);
    }
    SUBCASE("takes a cancel while its results are being appended")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.wait(1s);
        bench.folded(bench.stream.land(cancelBatch(job_id("j"), "x", 1)));
        bench.landLast();
        CHECK(bench.job().succeeded == 0);
        CHECK(bench.owner->uncommittedCount() == 0);
        CHECK_FALSE(bench.owner->hasQueuedAppends());
    }
    SUBCASE("drops everything when the epoch is lost")
    {
        bench.own();
        bench.credits(UpstreamA, 2);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.folded(bench.stream.claim(2, "other"));
        CHECK(bench.lost);
        CHECK(bench.cancels.size() == 1);
        bench.credits(UpstreamA, 9);
        bench.answer(bench.starts[1].attempt, attempt_outcome::Succeeded);
        bench.wait(10s);
        CHECK(bench.starts.size() == 2);
        CHECK(bench.appends.empty());
    }
    SUBCASE("starts nothing while it may not know of a cancel")
    {
        bench.own();
        bench.now += 4s;
        bench.credits(UpstreamA, 1);
        CHECK(bench.starts.empty());
        owner_actions actions;
        bench.owner->onOutageConfirmed(bench.now, actions); // it was paused when the log went down
        CHECK(actions.empty());
        bench.wait(0s);
        CHECK(bench.starts.size() == 1);
    }
    SUBCASE("goes on through an outage that began while it was up to date")
    {
        bench.own();
        owner_actions actions;
        for (int second = 0; second < 60; ++second) {
            bench.now += 1s;
            bench.owner->onOutageConfirmed(bench.now, actions);
        }
        bench.credits(UpstreamA, 1);
        CHECK(bench.starts.size() == 1);
    }
    SUBCASE("pauses when too much is uncommitted, and goes on once it is folded")
    {
        bench.options.maxUncommitted = 1;
        bench.own();
        bench.credits(UpstreamA, 9);
        CHECK(bench.starts.size() == 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        bench.wait(1s);
        CHECK(bench.starts.size() == 1);
        bench.landLast();
        CHECK(bench.starts.size() == 2);
    }
    SUBCASE("hands over when what runs has ended and is folded")
    {
        bench.own();
        bench.credits(UpstreamA, 1);
        owner_actions actions;
        bench.owner->beginHandover(bench.now, actions);
        bench.keep(std::move(actions));
        bench.credits(UpstreamA, 9);
        CHECK(bench.starts.size() == 1);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        REQUIRE(bench.appends.size() == 1);
        CHECK_FALSE(bench.released);
        bench.landLast();
        CHECK(bench.released);
    }
    SUBCASE("expires an ended job only after the retention of its results")
    {
        bench.own();
        bench.credits(UpstreamA, 3);
        for (int item = 0; item < 3; ++item)
            bench.answer(bench.starts[item].attempt, attempt_outcome::Succeeded);
        bench.wait(1s);
        bench.landLast();
        bench.wallS = 1000 + 60 + bench.options.resultRetentionS - 1;
        bench.wait(10s);
        CHECK(bench.appends.size() == 1);
        bench.wallS += 10;
        bench.wait(10s);
        REQUIRE(bench.appends.size() == 2);
        bench.landLast();
        CHECK(bench.stream.job("j") == nullptr);
    }
    SUBCASE("takes over what an earlier owner left open")
    {
        bench.stream.result("j", 1, 1);
        bench.stream.claim(2, "other");
        bench.own();
        bench.credits(UpstreamA, 9);
        REQUIRE(bench.starts.size() == 2);
        CHECK(bench.starts[0].attempt == attempt_id("j:0:2:1"));
        CHECK(bench.starts[1].attempt == attempt_id("j:2:2:1"));
    }
    SUBCASE("says when it has something to do")
    {
        bench.own();
        CHECK_FALSE(bench.owner->nextDeadline());
        bench.credits(UpstreamA, 1);
        CHECK(bench.owner->nextDeadline() == bench.now + bench.options.attemptTimeout);
        bench.answer(bench.starts[0].attempt, attempt_outcome::Succeeded);
        CHECK(bench.owner->nextDeadline() == bench.now + bench.options.groupCommit.maxDelay);
    }
}

TEST_CASE("attempt ids")
{
    const attempt_name name{{job_id("j"), item_index(7)}, epoch_number(3), 2};
    const auto parsed = attempt_name::parse(name.toId());
    REQUIRE(parsed);
    CHECK(parsed->item == name.item);
    CHECK(parsed->owner == epoch_number(3));
    CHECK(parsed->number == 2);
    CHECK_FALSE(attempt_name::parse(attempt_id("j:7:x:2")));
    CHECK_FALSE(attempt_name::parse(attempt_id("nonsense")));
}
