// Failure scenarios of batch jobs on the simulated fleet.
#include "support/jobs_simulation.hpp"

#include <absl/strings/str_join.h>
#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

std::size_t otherThan(const jobs_simulation &simulation, std::size_t entry)
{
    return (entry + 1) % simulation.entries.size();
}

void checkRecovery(jobs_simulation &simulation)
{
    simulation.recover();
    CHECK_MESSAGE(simulation.violations.empty(), absl::StrJoin(simulation.violations, "\n"));
}

const jobs_oracle::expected_job &onlyJob(const jobs_simulation &simulation)
{
    REQUIRE(simulation.oracle.jobs.size() == 1);
    return simulation.oracle.jobs.begin()->second;
}

} // namespace

TEST_CASE("an owner that resumes after its successor has finished changes no result")
{
    jobs_simulation simulation(1);
    simulation.run(10s);
    const auto older = simulation.ownerIndex();
    REQUIRE(older < simulation.entries.size());
    simulation.submit(otherThan(simulation, older), "c", jobs_simulation::content(12, "t"));
    simulation.run(1s);
    REQUIRE(simulation.entries[older].owner->runningCount() > 0);
    const auto epochBefore = simulation.oracle.epoch;
    simulation.pause(older, 60s);
    simulation.run(55s);
    CHECK(simulation.oracle.epoch > epochBefore);
    CHECK(simulation.openJobs().empty());
    const auto results = onlyJob(simulation).results;
    simulation.run(10s);
    CHECK_FALSE(simulation.entries[older].owner);
    CHECK(onlyJob(simulation).results == results);
    checkRecovery(simulation);
}

TEST_CASE("an acknowledged job survives the immediate loss of its entry")
{
    jobs_simulation simulation(2);
    simulation.run(10s);
    const auto owner = simulation.ownerIndex();
    simulation.submit(owner, "c", jobs_simulation::content(6, "t"), {}, true);
    simulation.run(4s);
    CHECK(simulation.acknowledged.size() == 1);
    CHECK_FALSE(simulation.entries[owner].isAlive(simulation.now()));
    SUBCASE("a resend to another entry returns the same job")
    {
        simulation.submit(otherThan(simulation, owner), "c", jobs_simulation::content(6, "t"));
        simulation.run(3s);
        CHECK(simulation.acknowledged.begin()->second.size() == 1);
    }
    checkRecovery(simulation);
    CHECK(onlyJob(simulation).results.size() == 6);
}

TEST_CASE("a job whose append has an unknown outcome is created exactly once")
{
    jobs_simulation simulation(3);
    simulation.run(10s);
    simulation.log.answersLostUntil = simulation.now() + 5s;
    simulation.log.slowUntil = simulation.now() + 5s;
    simulation.submit(0, "c", jobs_simulation::content(4, "t"));
    simulation.submit(1, "c", jobs_simulation::content(4, "t"));
    simulation.run(30s);
    CHECK(simulation.oracle.jobs.size() == 1);
    checkRecovery(simulation);
}

TEST_CASE("a job that is cancelled near its completion is either complete or cancelled")
{
    for (int moment = 0; moment < 40; ++moment) {
        CAPTURE(moment);
        jobs_simulation simulation(4);
        simulation.run(10s);
        simulation.submit(0, "c", jobs_simulation::content(3, "t"));
        simulation.run(500ms + moment * jobs_simulation::Step);
        const bool wasThere = !simulation.oracle.jobs.empty();
        if (wasThere)
            simulation.cancel(simulation.oracle.jobs.begin()->first);
        checkRecovery(simulation);
        const auto &job = onlyJob(simulation);
        CHECK((job.results.size() == 3) != job.cancelledAt.has_value());
    }
}

TEST_CASE("a poison item crashes at most two workers and the other items succeed")
{
    jobs_simulation simulation(5);
    simulation.run(10s);
    simulation.submit(0, "c", jobs_simulation::content(12, "t", {{4, "poison"}, {9, "rejected"}}));
    simulation.run(60s);
    CHECK(simulation.openJobs().empty());
    REQUIRE(simulation.crashesOfItem.size() == 1);
    CHECK(simulation.crashesOfItem.begin()->second <= 2);
    const auto *job =
        simulation.entries[0].fold->job(job_id(simulation.oracle.jobs.begin()->first));
    REQUIRE(job != nullptr);
    CHECK(job->succeeded == 10);
    CHECK_FALSE(job->results[4].flag());
    CHECK_FALSE(job->results[9].flag());
    checkRecovery(simulation);
}

TEST_CASE("accepted items continue to run while the log is down")
{
    jobs_simulation simulation(6);
    simulation.run(10s);
    simulation.submit(0, "c", jobs_simulation::content(12, "t"));
    for (int steps = 0; simulation.oracle.jobs.empty() && steps < 100; ++steps)
        simulation.run(jobs_simulation::Step);
    simulation.log.downUntil = simulation.now() + 30s;
    simulation.run(29s);
    CHECK(simulation.startedAttempts == 12);
    CHECK(onlyJob(simulation).results.size() < 12);
    checkRecovery(simulation);
    CHECK(simulation.startedAttempts == 12);
}

TEST_CASE("results stay readable beyond the retention of the log until they expire")
{
    jobs_simulation simulation(7);
    simulation.run(10s);
    simulation.submit(0, "c", jobs_simulation::content(5, "t"));
    simulation.run(30s);
    simulation.run(190s);
    CHECK(simulation.log.firstRetained() > log_offset(8));
    CHECK_FALSE(onlyJob(simulation).removed);
    simulation.check();
    simulation.kill(0, 2s);
    simulation.run(10s);
    CHECK(simulation.entries[0].fold->jobs().size() == 1);
    simulation.run(60s);
    CHECK(onlyJob(simulation).removed);
    checkRecovery(simulation);
}

TEST_CASE("an owner that resumes while the log is down starts no item of a cancelled job")
{
    jobs_simulation simulation(8);
    simulation.run(10s);
    const auto owner = simulation.ownerIndex();
    const auto other = otherThan(simulation, owner);
    simulation.submit(other, "c", jobs_simulation::content(12, "t"));
    for (int steps = 0; simulation.oracle.jobs.empty() && steps < 100; ++steps)
        simulation.run(jobs_simulation::Step);
    simulation.pause(owner, 8s);
    simulation.cancel(simulation.oracle.jobs.begin()->first);
    simulation.run(1s);
    CHECK(simulation.cancelFoldedAt.size() == 1);
    SUBCASE("while another entry has folded the cancel") { }
    SUBCASE("after all entries that folded the cancel are lost")
    {
        for (std::size_t index = 0; index < simulation.entries.size(); ++index) {
            if (index != owner)
                simulation.entries[index].reset();
        }
    }
    simulation.log.downUntil = simulation.now() + 20s;
    const auto before = simulation.startedAttempts;
    simulation.run(15s);
    CHECK(simulation.startedAttempts == before);
    checkRecovery(simulation);
}
