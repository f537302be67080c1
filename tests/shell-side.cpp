// Tests of resumable answers, by which a side continues an aborted batch call.
#include "support/side_call.hpp"
#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/side/resumable_answer.hpp>

#include <doctest/doctest.h>

using namespace tamarack;
using nlohmann::json;
using tamarack::testing::callUpstream;

namespace {

const std::string ChatTarget = "/v1/chat/completions";
const std::string Request = R"({"model":"drafter","max_tokens":3,"messages":[]})";

std::string chatEvent(const std::string &token)
{
    const json event{{"id", "chatcmpl-1"},
                     {"created", 5},
                     {"model", "drafter"},
                     {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
    return "data: " + event.dump() + "\n\n";
}

const std::string ChatEnd =
    R"(data: {"choices":[{"index":0,"delta":{},"finish_reason":"length"}]})"
    "\n\n"
    R"(data: {"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":1}})"
    "\n\ndata: [DONE]\n\n";

} // namespace

TEST_CASE("a side passes on no head of a response that ends inside its head")
{
    io_thread thread;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             "Content-Length: 2\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        const auto end = cut % 2 == 0 ? testing::ending::Close : testing::ending::Reset;
        const auto events = callUpstream(thread, head.substr(0, cut), end);
        CHECK_FALSE(events->hasHead);
        CHECK(events->end == upstream_end::Broken);
    }
    CHECK(callUpstream(thread, head + "{", testing::ending::Close)->end == upstream_end::Broken);
    CHECK(callUpstream(thread, head + "{}", testing::ending::Close)->end == upstream_end::Complete);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto whole = callUpstream(thread, interim + head + "{}", testing::ending::Close);
    CHECK(whole->end == upstream_end::Complete);
    CHECK(whole->text == "{}");
}

TEST_CASE("resumable answer")
{
    auto answer = resumable_answer::fromRequest(ChatTarget, Request);
    REQUIRE(answer);
    SUBCASE("requests a stream with usage")
    {
        const json first = json::parse(answer->beginRun());
        CHECK(first["stream"] == true);
        CHECK(first["stream_options"]["include_usage"] == true);
        CHECK(first["max_tokens"] == 3);
        CHECK_FALSE(first.contains("resume_from"));
    }
    SUBCASE("assembles the answer of one run, whatever the size of the stream's parts")
    {
        const std::string stream = chatEvent("a ") + chatEvent("b ") + chatEvent("c") + ChatEnd;
        for (const std::size_t size : {1UL, 7UL, stream.size()}) {
            auto cut = resumable_answer::fromRequest(ChatTarget, Request);
            cut->beginRun();
            for (std::size_t i = 0; i < stream.size(); i += size)
                cut->onData(std::string_view(stream).substr(i, size));
            REQUIRE(cut->isComplete());
            const json whole = json::parse(cut->body());
            CHECK(whole["id"] == "chatcmpl-1");
            CHECK(whole["object"] == "chat.completion");
            CHECK(whole["choices"][0]["message"]["content"] == "a b c");
            CHECK(whole["choices"][0]["finish_reason"] == "length");
            CHECK(whole["usage"]["completion_tokens"] == 3);
            CHECK(whole["usage"]["prompt_tokens"] == 4);
        }
    }
    SUBCASE("resumes after an aborted run and requests the last token again")
    {
        answer->beginRun();
        answer->onData(chatEvent("a ") + chatEvent("b ") + "data: {\"cho");
        const json second = json::parse(answer->beginRun());
        CHECK(second["resume_from"] == 1);
        answer->onData(chatEvent("b ") + chatEvent("c") + ChatEnd);
        REQUIRE(answer->isComplete());
        const json whole = json::parse(answer->body());
        CHECK(whole["choices"][0]["message"]["content"] == "a b c");
        CHECK(whole["usage"]["completion_tokens"] == 3);
        CHECK(whole["usage"]["total_tokens"] == 7);
    }
    SUBCASE("runs without a new token drop no further token")
    {
        answer->beginRun();
        answer->onData(chatEvent("a ") + chatEvent("b "));
        answer->beginRun();
        CHECK(json::parse(answer->beginRun())["resume_from"] == 1);
    }
    SUBCASE("an error in the stream is a failure, not a complete answer")
    {
        answer->beginRun();
        answer->onData(chatEvent("a ") + "data: {\"error\":{\"message\":\"lost\"}}\n\n");
        CHECK_FALSE(answer->isComplete());
        CHECK(answer->failure().find("lost") != std::string::npos);
    }
    SUBCASE("a stream with an error isn't a complete answer, although it has the end marker")
    {
        answer->beginRun();
        answer->onData(chatEvent("a ") + "data: {\"error\":{\"message\":\"lost\"}}\n\n" + ChatEnd);
        CHECK_FALSE(answer->isComplete());
        CHECK(answer->failure().find("lost") != std::string::npos);
    }
    SUBCASE("an answer that has begun isn't completed by a response that is no stream")
    {
        for (const auto &[status, type] :
             {std::pair(503U, "text/event-stream"), std::pair(200U, "application/json"),
              std::pair(204U, ""), std::pair(206U, "text/event-stream")}) {
            auto begun = resumable_answer::fromRequest(ChatTarget, Request);
            begun->beginRun();
            CHECK(begun->onHead(200, "text/event-stream") == run_response::Stream);
            begun->onData(chatEvent("a ") + chatEvent("b "));
            begun->beginRun();
            CHECK(begun->onHead(status, type) == run_response::Refusal);
            begun->onData(chatEvent("error text") + ChatEnd);
            CHECK_FALSE(begun->isComplete());
            CHECK(begun->tokenCount() == 1);
            begun->beginRun();
            CHECK(begun->onHead(200, "text/event-stream") == run_response::Stream);
            begun->onData(chatEvent("b ") + chatEvent("c") + ChatEnd);
            REQUIRE(begun->isComplete());
            CHECK(json::parse(begun->body())["choices"][0]["message"]["content"] == "a b c");
        }
    }
    SUBCASE("the first run's response that is no stream is the answer")
    {
        answer->beginRun();
        CHECK(answer->onHead(422, "application/json") == run_response::WholeAnswer);
    }
    SUBCASE("a malformed event is a failure")
    {
        answer->beginRun();
        answer->onData("data: nonsense\n\n");
        CHECK_FALSE(answer->failure().empty());
    }
}

TEST_CASE("requests that can't be resumed")
{
    CHECK_FALSE(resumable_answer::fromRequest("/v1/embeddings", Request));
    CHECK_FALSE(resumable_answer::fromRequest(ChatTarget, "not JSON"));
    CHECK_FALSE(resumable_answer::fromRequest(ChatTarget, R"({"n":2})"));
    CHECK_FALSE(resumable_answer::fromRequest(ChatTarget, R"({"tools":[]})"));
    CHECK(resumable_answer::fromRequest(ChatTarget, R"({"n":1})"));
    CHECK(resumable_answer::fromRequest("/v1/completions", R"({"prompt":"x"})"));
}

TEST_CASE("resumable answer of a text completion")
{
    auto answer = resumable_answer::fromRequest("/v1/completions", R"({"prompt":"x"})");
    answer->beginRun();
    answer->onData(
        "data: {\"id\":\"cmpl-1\",\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\r\n"
        "\r\ndata: [DONE]\r\n");
    REQUIRE(answer->isComplete());
    CHECK(json::parse(answer->body())["choices"][0]["text"] == "a");
}
