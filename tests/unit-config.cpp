// Tests of the configuration's fold, snapshots, retention and spread.
#include "support/config_records.hpp"
#include <tamarackglade/config/config_fold.hpp>
#include <tamarackglade/config/config_history.hpp>
#include <tamarackglade/config/config_snapshot_codec.hpp>
#include <tamarackglade/report/virtual_config_fleet.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

// A fold that applied payloads from offset 1 on.
config_fold folded(const std::vector<std::string> &payloads)
{
    config_fold fold;
    for (std::size_t i = 0; i < payloads.size(); ++i)
        fold.apply(log_offset(i + 1), payloads[i]);
    return fold;
}

std::vector<std::string> someRecords()
{
    return {publishPayload("p1", 0, validManifest("a")),
            issuePayload("i1", "k1"),
            issuePayload("i2", "k2"),
            withdrawPayload("w1", "k1"),
            drainPayload("d1", "side-1", 3),
            publishPayload("p2", 1, validManifest("b"), "ann")};
}

config_fleet_options fleetOf(std::size_t nodes)
{
    config_fleet_options options;
    options.nodes = nodes;
    return options;
}

void startAll(virtual_config_fleet &fleet)
{
    for (std::size_t node = 0; node < fleet.size(); ++node)
        fleet.start(node);
}

std::size_t servingCount(const virtual_config_fleet &fleet)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.isRunning(node) && fleet.spread(node).serving())
            ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a publish counts if its base is in force")
{
    const config_fold fold = folded({publishPayload("p1", 0, validManifest("a"), "ann"),
                                     publishPayload("p2", 1, validManifest("b"), "ben"),
                                     publishPayload("p3", 1, validManifest("c"), "cat"),
                                     publishPayload("p4", 2, "[fleet]\n", "dan")});
    CHECK(fold.manifestOffset() == log_offset(2));
    CHECK(fold.verdictOf("p2")->outcome == publish_outcome::Accepted);
    const publish_verdict *lost = fold.verdictOf("p3");
    CHECK(lost->outcome == publish_outcome::Lost);
    CHECK(lost->inForce == log_offset(2));
    CHECK(lost->inForceOperator == "ben");
    const publish_verdict *invalid = fold.verdictOf("p4");
    CHECK(invalid->outcome == publish_outcome::Invalid);
    CHECK(invalid->faults.size() == 1);
    CHECK(fold.verdictOf("p5") == nullptr);
    CHECK(fold.state()->inForce->fleet.name == "b");
}

TEST_CASE("repeated and malformed appends fold to nothing")
{
    std::vector<std::string> records = someRecords();
    const config_fold once = folded(records);
    for (const std::string &record : someRecords())
        records.push_back(record);
    records.emplace_back("nonsense");
    const config_fold twice = folded(records);
    CHECK(twice.offset() == log_offset(13));
    CHECK(twice.manifestOffset() == once.manifestOffset());
    CHECK(twice.state()->keys.entries() == once.state()->keys.entries());
    CHECK(twice.state()->drained.size() == 1);
    CHECK(twice.verdictOf("p2")->outcome == publish_outcome::Accepted);
}

TEST_CASE("a returned state never changes")
{
    config_fold fold = folded({issuePayload("i", "k1")});
    const auto before = fold.state();
    fold.apply(log_offset(2), withdrawPayload("w", "k1"));
    CHECK(before->keys.entries().size() == 1);
    CHECK(fold.state()->keys.entries().empty());
    CHECK(before->digest != fold.state()->digest);
}

TEST_CASE("drains name incarnations")
{
    const auto state = folded({drainPayload("a", "s", 3), drainPayload("b", "s", 2),
                               drainPayload("c", "t", 0), drainPayload("d", "t", 5)})
                           .state();
    CHECK(state->isDrained(vm_id("s"), incarnation_number(3)));
    CHECK_FALSE(state->isDrained(vm_id("s"), incarnation_number(4)));
    CHECK(state->isDrained(vm_id("t"), incarnation_number(9)));
}

TEST_CASE("snapshots")
{
    const config_fold fold = folded(someRecords());
    const std::string snapshot = encodeSnapshot(*fold.state(), 77);

    SUBCASE("hold the whole state")
    {
        config_fold other;
        CHECK(other.adopt(snapshot));
        CHECK(other.state()->digest == fold.state()->digest);
        CHECK(other.state()->manifestOperator == "ann");
        CHECK(other.lastSnapshotSeconds() == 77);
    }
    SUBCASE("that are older or broken are refused")
    {
        config_fold newer = folded(someRecords());
        newer.apply(log_offset(7), issuePayload("i3", "k3"));
        CHECK_FALSE(newer.adopt(snapshot));
        CHECK(newer.offset() == log_offset(7));
        CHECK_FALSE(newer.adopt("nonsense"));
        CHECK_FALSE(newer.adopt(issuePayload("i", "k")));
        auto batch = decodeBatch(snapshot).value();
        auto *record = batch.records[0]->body.Asconfig_snapshot_record();
        record->offset = 99;
        record->manifest_text = "[fleet]\n";
        CHECK_FALSE(newer.adopt(encodeBatch(batch)));
    }
    SUBCASE("serve a reader whose first records have expired")
    {
        // The log: 1-6 as folded, 7 a key, 8 the snapshot of 6, 9 a withdrawal. Held from 7 on.
        config_fold whole = folded(someRecords());
        config_fold late;
        const std::vector<std::string> tail{issuePayload("i3", "k3"), snapshot,
                                            withdrawPayload("w3", "k2")};
        for (std::size_t i = 0; i < tail.size(); ++i) {
            whole.apply(log_offset(7 + i), tail[i]);
            late.apply(log_offset(7 + i), tail[i]);
            CHECK(late.nextOffset() == log_offset(8 + i));
            CHECK(late.hasGap() == (i == 0));
        }
        CHECK(late.state()->digest == whole.state()->digest);
    }
    SUBCASE("that leave a gap are not taken")
    {
        config_fold late; // 7 and 8 expired
        late.apply(log_offset(9), snapshot);
        CHECK(late.hasGap());
        CHECK(late.offset() == log_offset(0));
    }
}

TEST_CASE("history of appends")
{
    config_history history(10);
    for (std::uint64_t offset = 1; offset <= 4; ++offset)
        history.add(log_offset(offset), "abcd");
    CHECK(history.after(log_offset(2)).size() == 2);
    CHECK(history.bytesAfter(log_offset(3)) == 4);
    CHECK(history.after(log_offset(1)).empty()); // 2 was dropped
    CHECK(history.after(log_offset(4)).empty());
    history.add(log_offset(9), "x");
    CHECK(history.after(log_offset(4)).empty());
    CHECK(history.after(log_offset(8)).size() == 1);
}

TEST_CASE("a cold start of all VMs while the log is down")
{
    virtual_config_fleet fleet(fleetOf(5));
    fleet.append(publishPayload("p", 0, validManifest("a")));
    fleet.setLogUp(false);
    startAll(fleet);
    fleet.advance(60s);
    CHECK(servingCount(fleet) == 0);
    CHECK(fleet.spread(0).readiness(fleet.now()) == config_readiness::NoPeerServes);
    fleet.setLogUp(true);
    fleet.advance(5s);
    CHECK(servingCount(fleet) == 5);
}

TEST_CASE("a single new VM while the log is down takes the highest of its peers")
{
    virtual_config_fleet fleet(fleetOf(5));
    fleet.append(publishPayload("p", 0, validManifest("a")));
    for (std::size_t node = 0; node < 4; ++node)
        fleet.start(node);
    fleet.advance(5s);
    fleet.append(issuePayload("i", "k"));
    fleet.advance(5s);
    fleet.setLogUp(false);
    fleet.start(4);
    fleet.advance(3s);
    CHECK(fleet.spread(4).serving());
    CHECK(fleet.spread(4).fold().offset() == log_offset(2));
}

TEST_CASE("all VMs paused while the log is down serve again with the highest they held")
{
    virtual_config_fleet fleet(fleetOf(5));
    fleet.append(publishPayload("p", 0, validManifest("a")));
    startAll(fleet);
    fleet.advance(5s);
    fleet.setLogUp(false);
    for (std::size_t node = 0; node < 5; ++node)
        fleet.pause(node);
    fleet.advance(60s);
    for (std::size_t node = 0; node < 5; ++node)
        fleet.resume(node);
    fleet.advance(1s);
    CHECK(servingCount(fleet) == 0);
    fleet.advance(10s);
    CHECK(servingCount(fleet) == 5);
}

TEST_CASE("a paused VM does not serve before it has asked again")
{
    virtual_config_fleet fleet(fleetOf(3));
    fleet.append(publishPayload("p", 0, validManifest("a")));
    fleet.append(issuePayload("i", "k"));
    startAll(fleet);
    fleet.advance(5s);
    fleet.pause(0);
    fleet.append(withdrawPayload("w", "k"));
    fleet.advance(60s);
    bool servedOld = false;
    fleet.setObserver([&](std::size_t node) {
        const config_spread &spread = fleet.spread(node);
        if (node == 0 && spread.serving() && spread.fold().offset() < log_offset(3))
            servedOld = true;
    });
    fleet.resume(0);
    fleet.advance(5s);
    CHECK_FALSE(servedOld);
    CHECK(fleet.spread(0).serving());
}

TEST_CASE("a withdrawn key is known within 5 s where the log can't be reached")
{
    for (const auto mutation : {config_mutation::None, config_mutation::GossipOff}) {
        config_fleet_options options = fleetOf(20);
        options.spread.mutation = mutation;
        virtual_config_fleet fleet(options);
        fleet.append(publishPayload("p", 0, validManifest("a")));
        fleet.append(issuePayload("i", "k"));
        startAll(fleet);
        fleet.advance(5s);
        for (std::size_t node = 0; node < 10; ++node)
            fleet.cutLog(node, true);
        fleet.advance(60s);
        fleet.append(withdrawPayload("w", "k"));
        fleet.advance(5s);
        std::size_t knowing = 0;
        for (std::size_t node = 0; node < fleet.size(); ++node)
            knowing += fleet.spread(node).state()->keys.isWithdrawn(key_id("k")) ? 1 : 0;
        CHECK(knowing == (mutation == config_mutation::None ? 20 : 10));
    }
}

TEST_CASE("the configuration outlives the log's retention")
{
    config_fleet_options options = fleetOf(4);
    options.logRetention = 1600s; // as validManifest says
    virtual_config_fleet fleet(options);
    fleet.append(publishPayload("p", 0, validManifest("a")));
    fleet.append(withdrawPayload("w", "k"));
    startAll(fleet);
    fleet.advance(3h);
    CHECK(fleet.firstRetainedAfter(0s) >= 2);
    const std::size_t appends = fleet.log().size();
    MESSAGE("appends in 3 h at a retention of 1600 s: " << appends);
    CHECK(appends < 2 + 4 * 14); // fewer than all nodes each half retention
    for (std::size_t node = 0; node < 4; ++node)
        fleet.stop(node);
    fleet.start(0); // reads the log alone
    fleet.advance(5s);
    CHECK(fleet.spread(0).serving());
    CHECK(fleet.spread(0).state()->keys.isWithdrawn(key_id("k")));
}

TEST_CASE("records that expired unread are said to be lost")
{
    config_fleet_options options = fleetOf(1);
    options.logRetention = 60s;
    virtual_config_fleet fleet(options);
    fleet.append(publishPayload("p", 0, validManifest("a")));
    fleet.advance(120s);
    fleet.start(0);
    fleet.advance(5s);
    CHECK(fleet.spread(0).readiness(fleet.now()) == config_readiness::RecordsLost);
}
