// Tests of copies, snapshots and readers that start after the first record.
#include "support/jobs_records.hpp"
#include <tamarackglade/jobs/partition_snapshot.hpp>
#include <tamarackglade/jobs/retention_planner.hpp>
#include <tamarackglade/jobs/snapshot_finder.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

// Runs the planner until it has no action for 2 s; returns the virtual time that it took before.
duration runPlanner(retention_planner &planner, folded_stream &stream)
{
    const time_point start{1s};
    auto now = start;
    for (int idle = 0; idle < 20; now += 100ms, ++idle) {
        while (const auto action = planner.next(now)) {
            idle = 0;
            if (const auto *read = std::get_if<retention_planner::read_batch>(&*action))
                planner.onBatchRead(read->offset, stream.batches.at(read->offset.value() - 1));
            else
                stream.append(std::get<retention_planner::append_copy>(*action).batch);
        }
    }
    return now - start - 2s;
}

// @return the encoded state of a reader that starts at firstRetained, or its error message
std::string lateReaderState(const folded_stream &stream, log_offset firstRetained)
{
    snapshot_finder finder(partition_id(0), firstRetained);
    for (auto offset = firstRetained.value(); offset <= stream.batches.size(); ++offset)
        finder.scan(stream.batches[offset - 1]);
    auto fold = finder.start();
    if (!fold.ok())
        return std::string(fold.status().message());
    for (auto offset = fold->position().value() + 1; offset <= stream.batches.size(); ++offset)
        fold->apply(log_offset(offset), stream.batches[offset - 1]);
    return encodeState(fold->snapshot());
}

void fillStream(folded_stream &stream)
{
    stream.claim(1);
    stream.file("f", 4);
    stream.accept("j", "f", 4, 1);
    for (std::uint32_t item = 0; item < 4; ++item)
        stream.result("j", item, 1);
}

} // namespace

TEST_CASE("a reader that starts after the first record folds the same state")
{
    folded_stream stream;
    fillStream(stream);
    const log_offset end(stream.batches.size() + 1);
    retention_options options;
    options.snapshotPartBytes = 64;
    retention_planner planner(stream.fold, options, log_offset(1));
    planner.setHorizon(end);
    runPlanner(planner, stream);
    CHECK(planner.backlog() == 0);
    CHECK(lateReaderState(stream, end) == encodeState(stream.fold.snapshot()));
    SUBCASE("every payload is at or after the horizon")
    {
        for (const auto &reference : stream.job("j")->results)
            CHECK(reference.offset() >= end);
        for (const auto &chunk : stream.fold.file(file_id("f"))->chunks())
            CHECK(chunk.reference.offset() >= end);
    }
    SUBCASE("also with records after the snapshot")
    {
        stream.claim(2, "b");
        stream.file("g", 2);
        stream.accept("k", "g", 2, 2);
        CHECK(lateReaderState(stream, end) == encodeState(stream.fold.snapshot()));
    }
    SUBCASE("expired payloads are not copied")
    {
        stream.expire("j", 1);
        const auto before = stream.batches.size();
        planner.setHorizon(log_offset(before + 1));
        runPlanner(planner, stream);
        for (auto index = before; index < stream.batches.size(); ++index)
            CHECK(stream.batches[index].reappended_from == 0);
    }
}

TEST_CASE("a snapshot is used only if it is complete and all later records are retained")
{
    folded_stream stream;
    fillStream(stream);
    const log_offset asOf(stream.batches.size());
    const auto parts = snapshotBatches(stream.fold.snapshot(), asOf, epoch_number(1), 100);
    REQUIRE(parts.size() > 2);
    SUBCASE("a part is missing")
    {
        for (std::size_t index = 1; index < parts.size(); ++index)
            stream.append(parts[index]);
        CHECK(stream.fold.lastSnapshot() == log_offset(0));
        CHECK(lateReaderState(stream, asOf).starts_with("records are no longer in the log"));
    }
    SUBCASE("records after it are no longer retained")
    {
        stream.claim(2, "b");
        for (const auto &part : parts)
            stream.append(part);
        CHECK(stream.fold.lastSnapshot() == asOf);
        CHECK(lateReaderState(stream, log_offset(asOf.value() + 1))
              == encodeState(stream.fold.snapshot()));
        CHECK(lateReaderState(stream, log_offset(asOf.value() + 2))
                  .starts_with("records are no longer in the log"));
    }
}

TEST_CASE("the planner respects maxAppendsPerSecond")
{
    folded_stream stream;
    fillStream(stream);
    retention_options options;
    options.maxAppendsPerSecond = 2;
    retention_planner planner(stream.fold, options, log_offset(1));
    planner.setHorizon(log_offset(stream.batches.size() + 1));
    const auto before = stream.batches.size();
    const auto took = runPlanner(planner, stream);
    const auto appends = static_cast<double>(stream.batches.size() - before);
    CHECK(appends >= 7); // a snapshot, two chunks, four results
    CHECK(toSeconds(took) >= (appends - 1) / options.maxAppendsPerSecond - 0.2);
}

TEST_CASE("the planner counts batches that are missing")
{
    folded_stream stream;
    fillStream(stream);
    retention_planner planner(stream.fold, {}, log_offset(1));
    planner.setHorizon(log_offset(3));
    planner.onBatchMissing(log_offset(1));
    planner.onBatchMissing(log_offset(1));
    CHECK(planner.missingCount() == 1);
    CHECK(planner.backlog() == 1);
}
