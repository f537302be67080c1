// Tests of which callers may hold memory and connections, and which are ended for others.
#include <tamarackglade/buffers/byte_quota.hpp>
#include <tamarackglade/buffers/connection_budget.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{};
constexpr std::size_t Connection = connection_budget::ConnectionBytes;
constexpr std::size_t Small = connection_budget::SmallBytes;

/// Connections of one budget, by number.
class callers
{
public:
    explicit callers(budget_limits limits) : budget(limits) { }

    /// @return whether the connection found a place
    bool open(int number, time_point now = Start)
    {
        auto share = budget.open([this, number] { ended.push_back(number); }, now);
        if (!share)
            return false;
        shares[number] = std::move(share);
        return true;
    }
    /// Asks once more after the owners of the connections that were ended have left.
    bool receive(int number, std::size_t bytes, time_point now = Start)
    {
        shares.at(number)->setPhase(connection_phase::Receiving, now);
        if (shares.at(number)->reserve(bytes, now))
            return true;
        std::erase_if(shares, [](const auto &entry) { return entry.second->ended(); });
        return shares.contains(number) && shares.at(number)->reserve(bytes, now);
    }

    connection_budget budget;
    std::map<int, std::unique_ptr<connection_budget::share>> shares;
    std::vector<int> ended;
};

budget_limits limitsOf(std::size_t requestBytes, std::size_t connections)
{
    return {requestBytes + connections * Connection, connections};
}

} // namespace

// Guards against bodies that stop short of their end and keep ordinary callers out.
TEST_CASE("a stalled request is ended before one that makes progress")
{
    callers all(limitsOf(10 * Small, 3));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2));
    REQUIRE(all.open(3));
    REQUIRE(all.receive(1, 4 * Small));
    REQUIRE(all.receive(2, 6 * Small, Start + 900ms));
    CHECK(all.receive(3, 100, Start + 1s));
    CHECK(all.ended == std::vector<int>{1});
    CHECK(all.budget.counts().stalled == 1);
}

// Guards against more held than the limit while the owners of ended connections haven't run yet.
TEST_CASE("the bytes of an ended connection are free when its owner has left")
{
    callers all(limitsOf(4 * Small, 2));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2));
    REQUIRE(all.receive(1, 4 * Small));
    all.shares[2]->setPhase(connection_phase::Receiving, Start + 1s);
    CHECK_FALSE(all.shares[2]->reserve(Small, Start + 1s));
    CHECK(all.ended == std::vector<int>{1});
    CHECK_FALSE(all.shares[2]->reserve(Small, Start + 1s));
    all.shares.erase(1);
    CHECK(all.shares[2]->reserve(Small, Start + 1s));
}

TEST_CASE("an answer that nobody reads is ended like a stalled request")
{
    callers all(limitsOf(4 * Small, 2));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2));
    all.shares[1]->charge(4 * Small, Start);
    all.shares[1]->setPhase(connection_phase::Sending, Start);
    CHECK_FALSE(all.receive(2, 2 * Small, Start + 999ms));
    CHECK(all.receive(2, 2 * Small, Start + 1s));
    CHECK(all.ended == std::vector<int>{1});
}

TEST_CASE("a small request finds room beside large ones that are being read")
{
    callers all(limitsOf(8 * Small, 3));
    for (int number : {1, 2, 3})
        REQUIRE(all.open(number));
    REQUIRE(all.receive(1, 5 * Small));
    REQUIRE(all.receive(2, 3 * Small));
    CHECK(all.receive(3, 1000));
    CHECK(all.ended == std::vector<int>{1});
}

TEST_CASE("the largest request is denied room instead of ending smaller ones")
{
    callers all(limitsOf(8 * Small, 2));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2));
    REQUIRE(all.receive(1, 3 * Small));
    REQUIRE(all.receive(2, 5 * Small));
    CHECK_FALSE(all.receive(2, Small));
    CHECK(all.ended.empty());
    CHECK(all.budget.counts().denied == 2);
    CHECK(all.budget.bytes() == 8 * Small + 2 * Connection);
}

TEST_CASE("a request that has been read whole is never ended")
{
    callers all(limitsOf(4 * Small, 2));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2));
    REQUIRE(all.receive(1, 4 * Small));
    all.shares[1]->setPhase(connection_phase::Running, Start);
    CHECK_FALSE(all.receive(2, Small, Start + 10s));
    CHECK(all.ended.empty());
    all.shares[1]->releaseRequest();
    CHECK(all.receive(2, Small, Start + 10s));
}

TEST_CASE("too many connections end the one that has been idle for the longest time")
{
    callers all(limitsOf(8 * Small, 2));
    REQUIRE(all.open(1, Start + 1s));
    REQUIRE(all.open(2, Start));
    CHECK(all.open(3, Start + 2s));
    CHECK(all.ended == std::vector<int>{2});
    all.shares[1]->setPhase(connection_phase::Running, Start + 2s);
    all.shares[3]->setPhase(connection_phase::Running, Start + 2s);
    CHECK_FALSE(all.open(4, Start + 20s));
    CHECK(all.budget.counts().refused == 1);
}

TEST_CASE("an ended connection is counted until the end only, whenever its owner leaves")
{
    callers all(limitsOf(8 * Small, 1));
    REQUIRE(all.open(1));
    REQUIRE(all.open(2, Start + 1s));
    CHECK(all.shares[1]->ended());
    CHECK_FALSE(all.shares[1]->reserve(1, Start + 1s));
    CHECK(all.budget.connections() == 1);
    all.shares.clear();
    CHECK(all.budget.connections() == 0);
    CHECK(all.budget.bytes() == 0);
}

// Guards against a process that holds more than its limits, and against a leak of what was counted.
TEST_CASE("what is held for callers stays within the limits in any history")
{
    CHECK(
        rc::check("bytes and connections are bounded, and a small request in calm finds room", [] {
            callers all(limitsOf(20 * Small, 5));
            time_point now = Start;
            int last = 0;
            const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                200, rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 8),
                                    rc::gen::inRange(1, 500'000)));
            for (const auto &[kind, which, bytes] : steps) {
                now += std::chrono::milliseconds(bytes % 300);
                if (kind == 0 || all.shares.empty()) {
                    all.open(++last, now);
                } else {
                    auto each = all.shares.begin();
                    std::advance(each, which % static_cast<int>(all.shares.size()));
                    if (kind == 1)
                        all.receive(each->first, static_cast<std::size_t>(bytes), now);
                    else if (kind == 2)
                        each->second->setPhase(connection_phase::Running, now);
                    else if (kind == 3)
                        each->second->releaseRequest();
                    else
                        all.shares.erase(each);
                }
                // A new connection may take the place of an ended one whose owner hasn't left yet.
                // Bytes
                // of requests may not.
                std::size_t held = 0;
                for (const auto &[number, share] : all.shares)
                    held += share->ended() ? 0 : share->bytes();
                RC_ASSERT(held <= all.budget.limits().bytes);
                RC_ASSERT(all.budget.bytes() - all.shares.size() * Connection
                          <= all.budget.limits().bytes);
                RC_ASSERT(all.budget.connections() <= all.budget.limits().connections);
            }
            std::erase_if(all.shares, [](const auto &entry) { return entry.second->ended(); });
            for (auto &[number, share] : all.shares) {
                share->releaseRequest();
                share->setPhase(connection_phase::Idle, now);
            }
            RC_ASSERT(all.open(++last, now + 1s));
            RC_ASSERT(all.receive(last, 1'000, now + 1s));
            all.shares.clear();
            RC_ASSERT(all.budget.bytes() == std::size_t{0});
            RC_ASSERT(all.budget.connections() == std::size_t{0});
        }));
}

TEST_CASE("a share of a byte quota grows while there is room, and small ones always")
{
    constexpr std::size_t Small = byte_quota::share::SmallBytes;
    byte_quota quota(3 * Small);
    {
        byte_quota::share large(quota);
        CHECK(large.set(3 * Small));
        byte_quota::share other(quota);
        CHECK(other.set(Small));
        CHECK_FALSE(other.set(Small + 1));
        CHECK(quota.used() == 4 * Small + 1);
        CHECK(large.set(Small));
        CHECK(other.set(2 * Small));
        CHECK_FALSE(large.set(Small + 1));
        CHECK(large.set(0));
    }
    CHECK(quota.used() == 0);
}
