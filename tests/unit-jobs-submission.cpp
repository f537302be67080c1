// Tests of input validation, submission records and submission_tracker.
#include "support/jobs_records.hpp"
#include <tamarackglade/jobs/submission_tracker.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using namespace tamarack::test;
using namespace std::chrono_literals;

namespace {

std::string line(const std::string &id, const std::string &model = "m",
                 const std::string &method = "POST",
                 const std::string &url = "/v1/chat/completions")
{
    return R"({"custom_id":")" + id + R"(","method":")" + method + R"(","url":")" + url
           + R"(","body":{"model":")" + model + "\"}}\n";
}

std::string errorsOf(const std::string &content, const submission_limits &limits = {})
{
    const auto facts = checkInput(content, schema::job_endpoint::ChatCompletions, limits);
    return facts.ok() ? std::string() : std::string(facts.status().message());
}

bool mentions(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("input check")
{
    SUBCASE("accepts a valid file with and without a newline at its end")
    {
        auto content = line("a") + line("b");
        for (int trim = 0; trim < 2; ++trim) {
            const auto facts = checkInput(content, schema::job_endpoint::ChatCompletions, {});
            REQUIRE(facts.ok());
            CHECK(facts->itemCount == 2);
            CHECK(facts->model == model_id("m"));
            content.pop_back();
        }
    }
    SUBCASE("lists every error with its line")
    {
        const auto errors = errorsOf(line("a") + "nonsense\n" + line("a") + line("c", "other")
                                     + line("d", "m", "GET") + line("e", "m", "POST", "/x") + "\n"
                                     + "[]\n" + R"({"custom_id":7,"body":3})");
        for (const auto *expected :
             {"line 2: not a JSON object", "line 3: custom_id is used", "line 4: body.model",
              "line 5: method", "line 6: url", "line 7: not a JSON", "line 8: not a JSON",
              "line 9: custom_id must", "line 9: body must"})
            CHECK_MESSAGE(mentions(errors, expected), expected);
    }
    SUBCASE("enforces the limits")
    {
        submission_limits limits;
        limits.maxItems = 2;
        CHECK(errorsOf(line("a") + line("b"), limits).empty());
        CHECK(mentions(errorsOf(line("a") + line("b") + line("c"), limits), "more than 2 items"));
        limits.maxLineBytes = 20;
        CHECK(mentions(errorsOf(line("a"), limits), "line 1: longer than 20"));
        limits.maxFileBytes = 10;
        CHECK(mentions(errorsOf(line("a"), limits), "larger than 10"));
        CHECK(mentions(errorsOf(""), "empty"));
    }
    SUBCASE("rejects deep nesting and invalid UTF-8")
    {
        CHECK(mentions(errorsOf(std::string(200'000, '[')), "line 1"));
        CHECK(mentions(errorsOf("{\"custom_id\":\"\xff\"}"), "line 1"));
    }
    SUBCASE("reports a limited number of errors")
    {
        std::string content;
        for (int index = 0; index < 1000; ++index)
            content += "x\n";
        CHECK(errorsOf(content).size() < 1000);
    }
}

TEST_CASE("endpoints and windows")
{
    CHECK(parseEndpoint("/v1/completions").value() == schema::job_endpoint::Completions);
    CHECK_FALSE(parseEndpoint("/v1/embeddings").ok());
    CHECK(parseCompletionWindow("24h").value() == 86400);
    CHECK(parseCompletionWindow("90m").value() == 5400);
    for (const auto *text : {"", "h", "24", "0h", "-1h", "169h", "24d", "99999999999h"})
        CHECK_FALSE(parseCompletionWindow(text).ok());
}

TEST_CASE("file batches")
{
    submission_limits limits;
    limits.chunkBytes = 10;
    const auto batches = fileBatches(file_id("f"), customer_id("c"), "n", "aaaa\nbb\ncccc", limits);
    REQUIRE(batches.ok());
    REQUIRE(batches->size() == 2);
    const auto *first = (*batches)[0].records[0]->body.Asfile_chunk();
    const auto *second = (*batches)[1].records[0]->body.Asfile_chunk();
    CHECK(std::string(first->data.begin(), first->data.end()) == "aaaa\nbb\n");
    CHECK(first->line_count == 2);
    CHECK(std::string(second->data.begin(), second->data.end()) == "cccc");
    CHECK(second->line_count == 1);
    CHECK_FALSE(fileBatches(file_id("f"), customer_id("c"), "n", "", limits).ok());
    CHECK_FALSE(
        fileBatches(file_id("f"), customer_id("c"), "n", std::string(11, 'x'), limits).ok());
}

TEST_CASE("idempotency digest")
{
    folded_stream stream;
    stream.file("f", 3);
    stream.file("g", 3);
    stream.file("h", 4);
    const auto digest = [&](const char *key, const char *file) {
        return idempotencyDigest(key, *stream.fold.file(file_id(file)),
                                 schema::job_endpoint::ChatCompletions);
    };
    CHECK(digest("", "f") == digest("", "g"));
    CHECK(digest("", "f") != digest("", "h"));
    CHECK(digest("k", "f") == digest("k", "h"));
    CHECK(digest("k", "f") != digest("l", "f"));
    CHECK(digest("", "f")
          != idempotencyDigest("", *stream.fold.file(file_id("f")),
                               schema::job_endpoint::Completions));
}

TEST_CASE("submission tracker")
{
    folded_stream stream;
    stream.file("f", 2);
    time_point now{1s};
    submission_tracker tracker(stream.fold, folded_stream::request("j", "f", 2, 1), {}, now);
    const auto sent = tracker.next(now);
    REQUIRE(sent);
    CHECK_FALSE(tracker.next(now));
    SUBCASE("reports Accepted only when the fold shows the job")
    {
        tracker.onAppendResult(append_outcome::Ok, now);
        CHECK(tracker.outcome().state == submission_state::Waiting);
        tracker.onFolded(stream.append(*sent));
        CHECK(tracker.outcome().state == submission_state::Accepted);
        CHECK(tracker.outcome().job == job_id("j"));
    }
    SUBCASE("resends an append of unknown outcome")
    {
        tracker.onAppendResult(append_outcome::Unknown, now);
        const auto again = tracker.next(now + 1s);
        REQUIRE(again);
        CHECK(again->record_id == sent->record_id);
        SUBCASE("reports Accepted and creates one job if both appends are folded")
        {
            tracker.onFolded(stream.append(*sent));
            tracker.onFolded(stream.append(*again));
            CHECK(tracker.outcome().state == submission_state::Accepted);
            CHECK(stream.fold.jobs().size() == 1);
        }
        SUBCASE("reports Unknown even if the last append is known to have failed")
        {
            tracker.onAppendResult(append_outcome::Failed, now + 2s);
            tracker.tick(now + 10s);
            CHECK(tracker.outcome().state == submission_state::Unknown);
        }
    }
    SUBCASE("reports Unknown if an append has no result")
    {
        tracker.tick(now + 10s);
        CHECK(tracker.outcome().state == submission_state::Unknown);
    }
    SUBCASE("reports NotWritten only if every append is known to have failed")
    {
        tracker.onAppendResult(append_outcome::Failed, now);
        REQUIRE(tracker.next(now + 1s));
        tracker.onAppendResult(append_outcome::Failed, now + 1s);
        tracker.tick(now + 10s);
        CHECK(tracker.outcome().state == submission_state::NotWritten);
    }
    SUBCASE("reports NotWritten within a second if all appends fail")
    {
        tracker.onAppendResult(append_outcome::Failed, now);
        REQUIRE(tracker.next(now + 600ms));
        tracker.onAppendResult(append_outcome::Failed, now + 600ms);
        CHECK(tracker.outcome().state == submission_state::NotWritten);
    }
    SUBCASE("returns the earlier job for a resend")
    {
        stream.append(*sent);
        submission_tracker known(stream.fold, folded_stream::request("k", "f", 2, 1), {}, now);
        CHECK(known.outcome().state == submission_state::Existing);
        CHECK(known.outcome().job == job_id("j"));
        CHECK_FALSE(known.next(now));
    }
    SUBCASE("returns the earlier job if two submissions race")
    {
        submission_tracker racing(stream.fold, folded_stream::request("k", "f", 2, 1), {}, now);
        stream.append(*sent);
        racing.onFolded(stream.append(*racing.next(now)));
        CHECK(racing.outcome().state == submission_state::Existing);
        CHECK(racing.outcome().job == job_id("j"));
    }
    SUBCASE("returns the reason why the fold refused the job")
    {
        submission_tracker wrong(stream.fold, folded_stream::request("k", "f", 9, 2), {}, now);
        wrong.onFolded(stream.append(*wrong.next(now)));
        CHECK(wrong.outcome().state == submission_state::Refused);
        CHECK(wrong.outcome().reason == refusal_reason::ItemCountWrong);
    }
}
