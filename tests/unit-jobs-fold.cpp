// Tests of the rules of partition_fold.
#include "support/jobs_records.hpp"
#include <tamarackglade/jobs/partition_snapshot.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;

TEST_CASE("claims")
{
    folded_stream stream;
    CHECK(stream.claim(1, "a").epochChanged);
    SUBCASE("are accepted only with the next epoch")
    {
        CHECK_FALSE(stream.claim(1, "b").epochChanged);
        CHECK_FALSE(stream.claim(3, "b").epochChanged);
        CHECK(stream.fold.ownerVm() == vm_id("a"));
        CHECK(stream.claim(2, "b").epochChanged);
        CHECK(stream.fold.ownerVm() == vm_id("b"));
        CHECK(stream.fold.currentEpoch() == epoch_number(2));
    }
    SUBCASE("of another partition are counted as malformed")
    {
        stream.append(
            claimBatch({partition_id(7), epoch_number(2), vm_id("b"), incarnation_number(1)}));
        CHECK(stream.fold.currentEpoch() == epoch_number(1));
        CHECK(stream.fold.malformedCount() == 1);
    }
    SUBCASE("in a copy do not change the epoch")
    {
        auto copy =
            claimBatch({partition_id(0), epoch_number(2), vm_id("b"), incarnation_number(1)});
        copy.reappended_from = 1;
        stream.append(copy);
        CHECK(stream.fold.currentEpoch() == epoch_number(1));
    }
}

TEST_CASE("files")
{
    folded_stream stream;
    stream.file("f", 5);
    const auto *file = stream.fold.file(file_id("f"));
    REQUIRE(file != nullptr);
    CHECK(file->isComplete());
    CHECK(file->lineCount() == 5);
    SUBCASE("return the reference of each line")
    {
        CHECK(file->line(0)->chunk.offset() == log_offset(1));
        CHECK(file->line(3)->chunk.offset() == log_offset(2));
        CHECK(file->line(3)->line == 1);
        CHECK(file->line(4)->chunk.offset() == log_offset(3));
        CHECK_FALSE(file->line(5));
    }
    SUBCASE("with equal content have equal digests")
    {
        stream.file("g", 5);
        stream.file("h", 6);
        CHECK(stream.fold.file(file_id("g"))->contentDigest() == file->contentDigest());
        CHECK(stream.fold.file(file_id("h"))->contentDigest() != file->contentDigest());
    }
    SUBCASE("ignore a chunk with another customer or chunk count")
    {
        schema::file_chunk_message chunk;
        chunk.file_id = "f";
        chunk.customer = "other";
        chunk.chunk_count = 3;
        stream.appendRecord(chunk);
        chunk.customer = "c";
        chunk.chunk_count = 4'000'000'000;
        stream.appendRecord(chunk);
        CHECK(stream.fold.malformedCount() == 2);
        CHECK(file->lineCount() == 5);
    }
    SUBCASE("without a job can expire")
    {
        stream.claim(1);
        schema::file_expired_message expired;
        expired.file_id = "f";
        expired.epoch = 1;
        stream.appendRecord(expired);
        CHECK(stream.fold.file(file_id("f")) == nullptr);
    }
}

TEST_CASE("accepting a job")
{
    folded_stream stream;
    stream.file("f", 4);
    SUBCASE("requires the complete file of the same customer and its item count")
    {
        CHECK(stream.accept("j", "g", 4, 1).jobsRefused.at(0).reason
              == refusal_reason::FileNotComplete);
        CHECK(stream.accept("k", "f", 3, 1).jobsRefused.at(0).reason
              == refusal_reason::ItemCountWrong);
        const auto foreign = folded_stream::request("l", "f", 4, 1, "other");
        CHECK(stream.append(acceptBatch(foreign)).jobsRefused.at(0).reason
              == refusal_reason::FileNotComplete);
    }
    SUBCASE("with the digest of an existing job returns that job")
    {
        CHECK(stream.accept("j", "f", 4, 1).jobsAccepted.size() == 1);
        const auto again = stream.accept("k", "f", 4, 1);
        CHECK(again.jobsAccepted.empty());
        CHECK(again.jobsRefused.at(0).existing == job_id("j"));
        CHECK(stream.fold.jobByDigest(customer_id("c"), 1)->id == job_id("j"));
    }
    SUBCASE("again with the same record id changes nothing")
    {
        stream.accept("j", "f", 4, 1);
        CHECK(stream.accept("j", "f", 4, 1).duplicate);
        CHECK(stream.fold.jobs().size() == 1);
    }
    SUBCASE("keeps the jobs of a customer in order of acceptance")
    {
        stream.accept("z", "f", 4, 1);
        stream.accept("a", "f", 4, 2);
        CHECK(stream.fold.jobsOf(customer_id("c")) == std::vector{job_id("z"), job_id("a")});
    }
}

TEST_CASE("results")
{
    folded_stream stream;
    stream.claim(1);
    stream.file("f", 3);
    stream.accept("j", "f", 3, 1);
    CHECK(stream.result("j", 0, 1).itemsFinished.size() == 1);
    const auto first = stream.job("j")->results[0];
    SUBCASE("only the first result of an item counts")
    {
        CHECK(stream.result("j", 0, 1, 'b').itemsFinished.empty());
        CHECK(stream.job("j")->results[0] == first);
    }
    SUBCASE("of an older or a future epoch have no effect")
    {
        stream.claim(2, "b");
        CHECK(stream.result("j", 1, 1).itemsFinished.empty());
        CHECK(stream.result("j", 1, 3).itemsFinished.empty());
        CHECK(stream.result("j", 1, 2).itemsFinished.size() == 1);
    }
    SUBCASE("of nonexistent items are counted as malformed")
    {
        CHECK(stream.result("j", 3, 1).itemsFinished.empty());
        CHECK(stream.fold.malformedCount() == 1);
    }
    SUBCASE("complete the job, and a later cancel has no effect")
    {
        stream.result("j", 1, 1);
        CHECK(stream.fold.openItems(job_id("j"), item_index(0), 9) == std::vector{item_index(2)});
        CHECK(stream.result("j", 2, 1).jobsEnded.size() == 1);
        CHECK(stream.append(cancelBatch(job_id("j"), "x", 1)).jobsCancelled.empty());
        CHECK(stream.job("j")->state() == job_state::Completed);
    }
    SUBCASE("after a cancel have no effect, and earlier ones stay")
    {
        CHECK(stream.append(cancelBatch(job_id("j"), "x", 1)).jobsCancelled.size() == 1);
        CHECK(stream.result("j", 1, 1).itemsFinished.empty());
        CHECK(stream.job("j")->results[0] == first);
        CHECK(stream.job("j")->state() == job_state::Cancelled);
    }
}

TEST_CASE("expiry")
{
    folded_stream stream;
    stream.claim(1);
    stream.file("f", 1);
    stream.accept("j", "f", 1, 1);
    SUBCASE("never removes a job that has not ended")
    {
        CHECK(stream.expire("j", 1).jobsRemoved.empty());
    }
    SUBCASE("removes an ended job, and its file with the last job that uses it")
    {
        stream.accept("k", "f", 1, 2);
        stream.result("j", 0, 1);
        stream.result("k", 0, 1);
        CHECK(stream.expire("j", 0).jobsRemoved.empty());
        CHECK(stream.expire("j", 1).jobsRemoved.size() == 1);
        CHECK(stream.fold.file(file_id("f")) != nullptr);
        CHECK(stream.expire("k", 1).jobsRemoved.size() == 1);
        CHECK(stream.fold.file(file_id("f")) == nullptr);
    }
}

namespace {

// Repeats the append that accepted a job after the job has expired, while another job still uses
// the file. @return whether the job exists again
bool isExpiredJobRestored(jobs_mutation mutation)
{
    folded_stream stream(mutation);
    stream.claim(1);
    stream.file("f", 1);
    stream.accept("j", "f", 1, 1);
    stream.accept("k", "f", 1, 2);
    stream.result("j", 0, 1);
    stream.expire("j", 1);
    stream.accept("j", "f", 1, 1);
    return stream.job("j") != nullptr;
}

} // namespace

TEST_CASE("a repeated append does not restore an expired job")
{
    CHECK_FALSE(isExpiredJobRestored(jobs_mutation::None));
    CHECK(isExpiredJobRestored(jobs_mutation::RecordIdNotDeduplicated));
}

TEST_CASE("copies")
{
    folded_stream stream;
    stream.claim(1);
    stream.file("f", 1);
    stream.accept("j", "f", 1, 1);
    schema::log_batch_message batch;
    batch.record_id = "two";
    addRecord(batch, folded_stream::resultRecord("j", 0, 7, 'x')); // no effect: wrong epoch
    addRecord(batch, folded_stream::resultRecord("j", 0, 1, 'a'));
    stream.append(batch);
    const auto original = stream.job("j")->results[0];
    REQUIRE(original.index() == 1);
    schema::log_batch_message copy;
    copy.record_id = "copy";
    copy.reappended_from = original.offset().value();
    addRecord(copy, folded_stream::resultRecord("j", 0, 1, 'a'));
    SUBCASE("move a reference and finish no item")
    {
        const auto changes = stream.append(copy);
        CHECK(changes.itemsFinished.empty());
        CHECK(stream.job("j")->results[0].offset() > original.offset());
        CHECK(stream.job("j")->succeeded == 1);
    }
    SUBCASE("of a batch that was copied already change nothing")
    {
        stream.append(copy);
        const auto moved = stream.job("j")->results[0];
        copy.record_id = "later copy";
        stream.append(copy);
        CHECK(stream.job("j")->results[0] == moved);
    }
    SUBCASE("do not add a result to an open item or restore a job")
    {
        stream.accept("k", "f", 1, 2);
        copy.records.clear();
        addRecord(copy, folded_stream::resultRecord("k", 0, 1));
        stream.append(copy);
        CHECK_FALSE(stream.job("k")->hasResult(item_index(0)));
        stream.expire("j", 1);
        auto accepted = acceptBatch(folded_stream::request("j", "f", 1, 1));
        accepted.record_id = "copy of the job";
        accepted.reappended_from = 3;
        stream.append(accepted);
        CHECK(stream.job("j") == nullptr);
    }
    SUBCASE("are needed only of the record to which the state refers")
    {
        const auto &records = stream.batches.back().records;
        const auto at = [&](std::uint32_t index) {
            return record_reference(original.offset(), index);
        };
        CHECK_FALSE(stream.fold.isReferenced(at(0), *records[0]));
        CHECK(stream.fold.isReferenced(at(1), *records[1]));
    }
}

TEST_CASE("malformed batches are ignored and counted")
{
    folded_stream stream;
    schema::log_batch_message batch;
    stream.append(batch); // no record id
    batch.record_id = "empty record";
    batch.records.push_back(std::make_unique<schema::log_record_message>());
    batch.records.push_back(nullptr);
    stream.append(batch);
    schema::key_withdrawn_message foreign;
    stream.appendRecord(foreign);
    CHECK(stream.fold.malformedCount() == 4);
    CHECK(stream.fold.jobs().empty());
}

TEST_CASE("a snapshot restores the same state")
{
    folded_stream stream;
    stream.claim(1);
    stream.file("f", 3);
    stream.accept("j", "f", 3, 1);
    stream.result("j", 1, 1);
    const auto state = decodeState(encodeState(stream.fold.snapshot()));
    REQUIRE(state.ok());
    auto restored = partition_fold::fromSnapshot(*state, stream.fold.position());
    REQUIRE(restored.ok());
    CHECK(encodeState(restored->snapshot()) == encodeState(stream.fold.snapshot()));
    CHECK(restored->hasRecord("accept:j"));
    CHECK(restored->job(job_id("j"))->succeeded == stream.job("j")->succeeded);
    SUBCASE("that is damaged gives an error")
    {
        auto broken = *state;
        broken.files.clear();
        CHECK_FALSE(partition_fold::fromSnapshot(broken, log_offset(9)).ok());
        CHECK_FALSE(decodeState("nonsense").ok());
    }
}
