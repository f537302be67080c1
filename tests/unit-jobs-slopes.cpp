// Prints the memory, log and time costs of batch jobs; checks the fold memory per item and the
// append rate.
#include <tamarackglade/report/job_measurement.hpp>

#include <doctest/doctest.h>
#include <malloc.h>

#include <cstdio>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AnswerBytes = 600;
constexpr double MaxFoldBytesPerItem = 24;

measurement_hooks realHooks()
{
    return {[] { return duration(std::chrono::steady_clock::now().time_since_epoch()); },
            [] {
                const auto info = mallinfo2();
                return info.uordblks + info.hblkhd;
            }};
}

} // namespace

TEST_CASE("jobs slopes")
{
    std::printf("items  fold ns/result  fold B/item  result B/item  input B/item  snapshot B/item"
                "  owner ns/item\n");
    for (const std::uint32_t items : {1'000U, 10'000U, 150'000U}) {
        const auto slope = measureJob(items, AnswerBytes, realHooks());
        std::printf("%6u  %14.0f  %11.1f  %13.1f  %12.1f  %15.1f  %13.0f\n", slope.items,
                    slope.foldNsPerResult, slope.foldHeapBytesPerItem, slope.logBytesPerItem,
                    slope.inputLogBytesPerItem, slope.snapshotBytesPerItem, slope.ownerNsPerItem);
        if (items >= 10'000)
            CHECK(slope.foldHeapBytesPerItem <= MaxFoldBytesPerItem);
    }
}

TEST_CASE("commit slopes")
{
    std::printf("items/s  appends/s  largest batch\n");
    for (const std::uint32_t rate : {1U, 10U, 100U, 640U, 2'000U, 10'000U}) {
        const auto slope = measureCommit(rate, AnswerBytes, 20ms);
        std::printf("%7u  %9.1f  %13.0f\n", slope.itemsPerSecond, slope.appendsPerSecond,
                    slope.largestBatchItems);
        const double perDelay = 4; // one append per 250 ms, the maximum delay of a group commit
        const double perSize = rate * (AnswerBytes + 20.0) / (512 * 1024);
        CHECK(slope.appendsPerSecond <= perDelay + perSize + 1);
    }
}
