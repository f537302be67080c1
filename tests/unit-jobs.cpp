// Scenarios of failures that batch jobs must survive, on the simulated fleet.
#include "support/jobs_sim.hpp"

#include <absl/strings/str_join.h>
#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

std::size_t otherThan(const jobs_sim &sim, std::size_t entry)
{
    return (entry + 1) % sim.entries.size();
}

void checkHealed(jobs_sim &sim)
{
    sim.heal();
    CHECK_MESSAGE(sim.faults.empty(), absl::StrJoin(sim.faults, "\n"));
}

const jobs_oracle::known_job &onlyJob(const jobs_sim &sim)
{
    REQUIRE(sim.oracle.jobs.size() == 1);
    return sim.oracle.jobs.begin()->second;
}

} // namespace

TEST_CASE("an older owner wakes after its successor has finished")
{
    jobs_sim sim(1);
    sim.run(10s);
    const auto older = sim.ownerIndex();
    REQUIRE(older < sim.entries.size());
    sim.submit(otherThan(sim, older), "c", jobs_sim::content(12, "t"));
    sim.run(1s);
    REQUIRE(sim.entries[older].owner->runningCount() > 0);
    const auto epochBefore = sim.oracle.epoch;
    sim.pause(older, 60s);
    sim.run(55s);
    CHECK(sim.oracle.epoch > epochBefore);
    CHECK(sim.openJobs().empty());
    const auto results = onlyJob(sim).results;
    sim.run(10s);
    CHECK_FALSE(sim.entries[older].owner);
    CHECK(onlyJob(sim).results == results);
    checkHealed(sim);
}

TEST_CASE("an acknowledged job survives the loss of its entry at once")
{
    jobs_sim sim(2);
    sim.run(10s);
    const auto owner = sim.ownerIndex();
    sim.submit(owner, "c", jobs_sim::content(6, "t"), {}, true);
    sim.run(4s);
    CHECK(sim.acknowledged.size() == 1);
    CHECK_FALSE(sim.entries[owner].isAlive(sim.now()));
    SUBCASE("and a resend to another entry gives the same job")
    {
        sim.submit(otherThan(sim, owner), "c", jobs_sim::content(6, "t"));
        sim.run(3s);
        CHECK(sim.acknowledged.begin()->second.size() == 1);
    }
    checkHealed(sim);
    CHECK(onlyJob(sim).results.size() == 6);
}

TEST_CASE("a job whose append has an unknown outcome is neither doubled nor denied")
{
    jobs_sim sim(3);
    sim.run(10s);
    sim.log.answersLostUntil = sim.now() + 5s;
    sim.log.slowUntil = sim.now() + 5s;
    sim.submit(0, "c", jobs_sim::content(4, "t"));
    sim.submit(1, "c", jobs_sim::content(4, "t"));
    sim.run(30s);
    CHECK(sim.oracle.jobs.size() == 1);
    checkHealed(sim);
}

TEST_CASE("a cancel races with completion")
{
    for (int moment = 0; moment < 40; ++moment) {
        CAPTURE(moment);
        jobs_sim sim(4);
        sim.run(10s);
        sim.submit(0, "c", jobs_sim::content(3, "t"));
        sim.run(500ms + moment * jobs_sim::Step);
        const bool wasThere = !sim.oracle.jobs.empty();
        if (wasThere)
            sim.cancel(sim.oracle.jobs.begin()->first);
        checkHealed(sim);
        const auto &job = onlyJob(sim);
        CHECK((job.results.size() == 3) != job.cancelledAt.has_value());
    }
}

TEST_CASE("a poison item kills few workers and the other items succeed")
{
    jobs_sim sim(5);
    sim.run(10s);
    sim.submit(0, "c", jobs_sim::content(12, "t", {{4, "poison"}, {9, "rejected"}}));
    sim.run(60s);
    CHECK(sim.openJobs().empty());
    REQUIRE(sim.crashesOfItem.size() == 1);
    CHECK(sim.crashesOfItem.begin()->second <= 2);
    const auto *job = sim.entries[0].fold->job(job_id(sim.oracle.jobs.begin()->first));
    REQUIRE(job != nullptr);
    CHECK(job->succeeded == 10);
    CHECK_FALSE(job->results[4].flag());
    CHECK_FALSE(job->results[9].flag());
    checkHealed(sim);
}

TEST_CASE("accepted items go on while the log is down")
{
    jobs_sim sim(6);
    sim.run(10s);
    sim.submit(0, "c", jobs_sim::content(12, "t"));
    for (int steps = 0; sim.oracle.jobs.empty() && steps < 100; ++steps)
        sim.run(jobs_sim::Step);
    sim.log.downUntil = sim.now() + 30s;
    sim.run(29s);
    CHECK(sim.startCount == 12);
    CHECK(onlyJob(sim).results.size() < 12);
    checkHealed(sim);
    CHECK(sim.startCount == 12);
}

TEST_CASE("results stay readable past the log's retention, until they expire")
{
    jobs_sim sim(7);
    sim.run(10s);
    sim.submit(0, "c", jobs_sim::content(5, "t"));
    sim.run(30s);
    sim.run(190s);
    CHECK(sim.log.firstRetained() > log_offset(8));
    CHECK_FALSE(onlyJob(sim).removed);
    sim.check();
    sim.kill(0, 2s);
    sim.run(10s);
    CHECK(sim.entries[0].fold->jobs().size() == 1);
    sim.run(60s);
    CHECK(onlyJob(sim).removed);
    checkHealed(sim);
}

TEST_CASE("an owner that wakes while the log is down starts nothing of a cancelled job")
{
    jobs_sim sim(8);
    sim.run(10s);
    const auto owner = sim.ownerIndex();
    const auto other = otherThan(sim, owner);
    sim.submit(other, "c", jobs_sim::content(12, "t"));
    for (int steps = 0; sim.oracle.jobs.empty() && steps < 100; ++steps)
        sim.run(jobs_sim::Step);
    sim.pause(owner, 8s);
    sim.cancel(sim.oracle.jobs.begin()->first);
    sim.run(1s);
    CHECK(sim.cancelFoldedAt.size() == 1);
    SUBCASE("while another entry knows of the cancel") { }
    SUBCASE("also when all who knew of it are lost")
    {
        for (std::size_t index = 0; index < sim.entries.size(); ++index) {
            if (index != owner)
                sim.entries[index].reset();
        }
    }
    sim.log.downUntil = sim.now() + 20s;
    const auto before = sim.startCount;
    sim.run(15s);
    CHECK(sim.startCount == before);
    checkHealed(sim);
}
