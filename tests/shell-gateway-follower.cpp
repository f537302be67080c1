// Tests of callers that wait for one read of a partition.
#include "support/null_store.hpp"
#include <tamarackglade/gateway/batch/stream_follower.hpp>
#include <tamarackglade/runtime/boot_now.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds ReadTime{100};

/// Answers no read, and fails each one after ReadTime.
class silent_store final : public test::null_store
{
public:
    read_reply read(const stream_partition & /*partition*/, stream_position /*from*/,
                    std::chrono::milliseconds /*wait*/) override
    {
        ++reads;
        boost::this_fiber::sleep_for(ReadTime);
        read_reply reply;
        reply.result = read_result::Failed;
        return reply;
    }

    unsigned reads = 0;
};

class null_listener final : public stream_listener
{
public:
    void onRecord(const std::string & /*record*/, time_point /*sentAt*/) override { }
    void onComplete(time_point /*sentAt*/) override { }
};

} // namespace

TEST_CASE("callers that wait while the store is silent don't wait for each other's reads in turn")
{
    constexpr std::size_t Callers = 8;
    silent_store store;
    null_listener listener;
    std::vector<duration> waits;
    io_thread thread;
    thread.run([&] {
        stream_follower follower(store, {stream_name("jobs"), 0}, {}, listener);
        std::vector<boost::fibers::fiber> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.emplace_back([&] {
                const time_point startedAt = bootNow();
                CHECK_FALSE(follower.catchUp(startedAt));
                waits.push_back(bootNow() - startedAt);
            });
            boost::this_fiber::sleep_for(10ms);
        }
        for (boost::fibers::fiber &each : callers)
            each.join();
    });
    REQUIRE(waits.size() == Callers);
    CHECK(store.reads <= 2);
    CHECK(*std::max_element(waits.begin(), waits.end()) < 3 * ReadTime);
}
