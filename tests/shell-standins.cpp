// Tests of the stand-ins as processes: their protocols, and that each fault switch acts.
#include "support/standins_client.hpp"
#include "support/standins_process.hpp"
#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/load/load_run.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace tamarack;
using namespace tamarack::standins;
using nlohmann::json;

namespace {

constexpr const char *Records = "/v1/streams/s/records";

std::string frame(char offset, const std::string &record)
{
    std::string text(12, '\0');
    text[0] = offset;
    text[8] = static_cast<char>(record.size());
    return text + record;
}

json completion(const std::string &prompt, int tokens, bool stream = false)
{
    return {{"model", "m"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
}

// The text of a stream's events, and whether it ended with [DONE].
std::pair<std::string, bool> streamedText(const std::string &body)
{
    std::string text;
    std::size_t at = 0;
    while ((at = body.find("data: ", at)) != std::string::npos) {
        const std::size_t end = body.find("\n\n", at);
        const std::string data = body.substr(at + 6, end - at - 6);
        if (data == "[DONE]")
            return {text, true};
        text += json::parse(data)["choices"][0].value("text", "");
        at = end;
    }
    return {text, false};
}

// Polls until a condition holds, for at most five seconds.
template <class Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 500; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

} // namespace

TEST_CASE("platform: the log appends and reads by offset")
{
    standin_process process("platform");
    REQUIRE_FALSE(process.address().empty());
    standin_client client(process.address());
    CHECK(client.post(Records, "one")->body == R"({"offset":1})");
    CHECK(client.post(Records, "two")->body == R"({"offset":2})");
    CHECK(client.post("/v1/streams/other/records", "x")->body == R"({"offset":1})");
    const auto all = client.get(std::string(Records) + "?from=1");
    REQUIRE(all.ok());
    CHECK(all->body == frame(1, "one") + frame(2, "two"));
    CHECK(headerOf(*all, "X-First-Offset") == "1");
    CHECK(headerOf(*all, "X-Next-Offset") == "3");
    CHECK(client.get(std::string(Records) + "?from=2&limit=1")->body == frame(2, "two"));
    CHECK(client.get(std::string(Records) + "?from=3&wait_ms=10")->body.empty());

    SUBCASE("a reader that waits gets the next record")
    {
        std::thread writer([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            standin_client(process.address()).post(Records, "late").IgnoreError();
        });
        CHECK(client.get(std::string(Records) + "?from=3&wait_ms=30000")->body == frame(3, "late"));
        writer.join();
    }
    SUBCASE("a lost answer takes effect")
    {
        client.postJson("/fault", {{"lose_next_answers", 1}});
        CHECK(absl::IsAborted(client.post(Records, "lost").status()));
        CHECK(client.get(std::string(Records) + "?from=3")->body == frame(3, "lost"));
        CHECK(client.post(Records, "next")->body == R"({"offset":4})");
    }
    SUBCASE("while it is down nothing takes effect")
    {
        client.postJson("/fault", {{"log", "down"}});
        CHECK(client.post(Records, "no")->status == 503);
        CHECK(client.get(Records)->status == 503);
        client.postJson("/fault", {{"log", "up"}});
        CHECK(client.post(Records, "yes")->body == R"({"offset":3})");
    }
    SUBCASE("slow answers are late")
    {
        client.postJson("/fault", {{"log", "slow"}, {"slow_ms", 80}});
        const auto start = std::chrono::steady_clock::now();
        CHECK(client.post(Records, "slow")->status == 200);
        CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(80));
    }
    SUBCASE("a frozen platform answers when it thaws")
    {
        client.postJson("/fault", {{"freeze_ms", 80}});
        const auto start = std::chrono::steady_clock::now();
        CHECK(client.get("/v1/vms")->status == 200);
        CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(70));
    }
    SUBCASE("records that were dropped are gone")
    {
        client.postJson("/fault", {{"drop_before", {{"stream", "s"}, {"offset", 2}}}});
        const auto gone = client.get(std::string(Records) + "?from=1");
        CHECK(gone->status == 410);
        CHECK(headerOf(*gone, "X-First-Offset") == "2");
        client.postJson("/fault", {{"retention_records", 1}});
        client.post(Records, "three").IgnoreError();
        CHECK(client.get(std::string(Records) + "?from=2")->status == 410);
        CHECK(client.get(std::string(Records) + "?from=3")->body == frame(3, "three"));
    }
    SUBCASE("malformed faults are refused")
    {
        CHECK(client.post("/fault", "[]")->status == 400);
        CHECK(client.post("/fault", R"({"slow_ms":"x"})")->status == 400);
    }
}

TEST_CASE("platform: appends are limited over all streams")
{
    standin_process process("platform", {"--append-rate=0.001", "--append-burst=2"});
    standin_client client(process.address());
    CHECK(client.post("/v1/streams/a/records", "1")->status == 200);
    CHECK(client.post("/v1/streams/b/records", "2")->status == 200);
    const auto refused = client.post("/v1/streams/c/records", "3");
    CHECK(refused->status == 429);
    CHECK(headerOf(*refused, "Retry-After") == "1");
    CHECK(client.getJson("/stats")["refused_appends"] == 1);
}

TEST_CASE("platform: the VM list lags")
{
    standin_process process("platform", {"--vm-lag-ms=60000"});
    standin_client client(process.address());
    const auto put = [&](const std::string &vm) {
        return client.ask(
            makeRequest("PUT", "/v1/vms/" + vm, R"({"role":"entry","incarnation":7})"));
    };
    CHECK(put("a")->status == 200);
    CHECK(client.getJson("/v1/vms").empty());
    client.postJson("/fault", {{"vm_lag_ms", 0}});
    const json listed = client.getJson("/v1/vms");
    REQUIRE(listed.size() == 1);
    CHECK(listed[0]["vm"] == "a");
    CHECK(listed[0]["state"] == "live");
    CHECK(client.ask(makeRequest("DELETE", "/v1/vms/a"))->status == 200);
    CHECK(client.getJson("/v1/vms").empty());
}

TEST_CASE("platform: weights come at a limited rate to few readers")
{
    standin_process process("platform",
                            {"--weight-bytes=200000", "--weight-rate=2e6", "--weight-readers=1"});
    standin_client client(process.address());
    const auto start = std::chrono::steady_clock::now();
    std::thread reader([&] {
        CHECK(standin_client(process.address()).get("/v1/weights/m")->body.size() == 200'000);
    });
    CHECK(eventually([&] { return client.getJson("/stats")["weight_readers"] == 1; }));
    CHECK(client.get("/v1/weights/m")->status == 429);
    reader.join();
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(90));
}

TEST_CASE("engine: answers are the expected ones, whole and streamed")
{
    standin_process process("engine", {"--w-us=500", "--h-us=10"});
    REQUIRE_FALSE(process.address().empty());
    standin_client client(process.address());
    const json whole = client.postJson("/v1/completions", completion("hello", 20));
    CHECK(whole["choices"][0]["text"] == expectedAnswer("m", "hello", 20));
    CHECK(whole["usage"]["completion_tokens"] == 20);
    const json chat =
        client.postJson("/v1/chat/completions",
                        {{"model", "m"}, {"messages", {{{"role", "user"}, {"content", "hi"}}}}});
    CHECK(chat["choices"][0]["message"]["content"]
          == expectedAnswer("m", "user: hi\n", DefaultAnswerTokens));
    const auto stream = client.post("/v1/completions", completion("hello", 20, true).dump());
    CHECK(streamedText(stream->body) == std::pair(expectedAnswer("m", "hello", 20), true));
    json rest = completion("hello", 20, true);
    rest["resume_from"] = 15;
    const auto resumed = client.post("/v1/completions", rest.dump());
    CHECK(expectedAnswer("m", "hello", 15) + streamedText(resumed->body).first
          == expectedAnswer("m", "hello", 20));
    CHECK(client.post("/v1/completions", R"({"model":"m"})")->status == 400);
    CHECK(client.post("/v1/completions", "{")->status == 400);
    CHECK(client.getJson("/executions")["finished"] == 4);

    SUBCASE("without iterations the answers are the same")
    {
        standin_process direct("engine", {"--speedup=0"});
        standin_client other(direct.address());
        const auto text = other.post("/v1/completions", completion("hello", 20, true).dump());
        CHECK(streamedText(text->body) == std::pair(expectedAnswer("m", "hello", 20), true));
    }
}

TEST_CASE("engine: executions show the headers that were seen")
{
    standin_process process("engine", {"--speedup=100"});
    standin_client client(process.address());
    CHECK(client
              .ask(makeRequest("POST", "/v1/completions", completion("p", 2).dump(),
                               {{"x-request-id", "r1"}, {"Authorization", "Bearer secret"}}))
              ->status
          == 200);
    const json execution = client.getJson("/executions")["executions"][0];
    CHECK(execution["request_id"] == "r1");
    CHECK(execution["headers"]["Authorization"] == "Bearer secret");
    CHECK(execution["state"] == "finished");
    CHECK(client.getJson("/executions?from=2")["executions"].empty());
}

TEST_CASE("engine: a closed connection cancels")
{
    standin_process process("engine", {"--w-us=5000"});
    standin_client client(process.address());
    client.askAndLeave(
        makeRequest("POST", "/v1/completions", completion("p", 100'000, true).dump()));
    CHECK(eventually(
        [&] { return client.getJson("/executions")["executions"][0]["state"] == "cancelled"; }));
    CHECK(client.getJson("/load")["active"] == 0);
}

TEST_CASE("engine: fault switches")
{
    standin_process process("engine", {"--w-us=500", "--h-us=10"});
    standin_client client(process.address());
    const auto ask = [&](const std::string &prompt) {
        return client.post("/v1/completions", completion(prompt, 4).dump());
    };

    SUBCASE("fail_next")
    {
        client.postJson("/fault", {{"fail_next", 1}});
        CHECK(ask("p")->status == 500);
        CHECK(ask("p")->status == 200);
    }
    SUBCASE("fail_share")
    {
        client.postJson("/fault", {{"fail_share", 0.5}});
        int failed = 0;
        for (int i = 0; i < 100; ++i)
            failed += ask("p")->status == 500 ? 1 : 0;
        CHECK(failed > 30);
        CHECK(failed < 70);
    }
    SUBCASE("poison and undoable prompts")
    {
        CHECK(ask("a POISON item")->status == 500);
        CHECK(ask("an UNDOABLE item")->status == 400);
    }
    SUBCASE("a stream that is cut has no end")
    {
        client.postJson("/fault", {{"cut_stream_after", 3}});
        const auto cut = client.post("/v1/completions", completion("p", 9, true).dump());
        CHECK(absl::IsAborted(cut.status()));
        CHECK(client.getJson("/executions")["executions"][0]["tokens_written"] == 3);
        CHECK(client.getJson("/executions")["executions"][0]["state"] == "cut");
        CHECK(client.post("/v1/completions", completion("p", 9, true).dump()).ok());
    }
    SUBCASE("hang")
    {
        client.postJson("/fault", {{"hang", true}});
        std::thread caller([&] {
            CHECK(standin_client(process.address())
                      .post("/v1/completions", completion("p", 4).dump())
                      ->status
                  == 200);
        });
        CHECK(eventually([&] { return client.getJson("/executions")["begun"] == 1; }));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        CHECK(client.getJson("/executions")["finished"] == 0);
        client.postJson("/fault", {{"hang", false}});
        caller.join();
    }
    SUBCASE("freeze and slowness")
    {
        client.postJson("/fault", {{"slow_factor", 100}});
        auto start = std::chrono::steady_clock::now();
        CHECK(ask("p")->status == 200);
        CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(200));
        client.postJson("/fault", {{"slow_factor", 1}, {"freeze_ms", 80}});
        start = std::chrono::steady_clock::now();
        CHECK(ask("p")->status == 200);
        CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(70));
    }
    SUBCASE("crash")
    {
        client.postJson("/fault", {{"crash_on", "deadly"}});
        CHECK_FALSE(ask("a deadly item").ok());
        CHECK(process.wait() == 70);
    }
}

TEST_CASE("engine: orders with an old fence")
{
    const json newer = {{"fence", 5}, {"kind", "load_model"}, {"argument", "x"}};
    const json older = {{"fence", 4}, {"kind", "change_role"}, {"argument", "old"}};

    SUBCASE("are refused by an engine that checks")
    {
        standin_process process("engine", {"--fence=check", "--models=m"});
        standin_client client(process.address());
        CHECK(client.post("/v1/completions", R"({"model":"x","prompt":"p"})")->status == 404);
        CHECK(client.post("/orders", newer.dump())->status == 200);
        CHECK(client.post("/v1/completions", R"({"model":"x","prompt":"p"})")->status == 200);
        CHECK(client.post("/orders", older.dump())->status == 409);
        CHECK(client.getJson("/health")["role"] == "serve");
        CHECK(client.getJson("/orders")["orders"][1]["accepted"] == false);
    }
    SUBCASE("take effect at an engine that ignores fences")
    {
        standin_process process("engine", {"--fence=ignore"});
        standin_client client(process.address());
        CHECK(client.post("/orders", newer.dump())->status == 200);
        CHECK(client.post("/orders", older.dump())->status == 200);
        CHECK(client.getJson("/health")["role"] == "old");
    }
    SUBCASE("malformed ones are refused")
    {
        standin_process process("engine");
        standin_client client(process.address());
        CHECK(client.post("/orders", R"({"fence":"x"})")->status == 400);
    }
}

TEST_CASE("engine: load reports lag, cache events come late and with gaps")
{
    standin_process process("engine",
                            {"--speedup=100", "--report-lag-ms=60000", "--cache-event-gap=3"});
    standin_client client(process.address());
    client.postJson("/fault", {{"hang", true}});
    std::thread caller([&] {
        standin_client(process.address())
            .postJson("/v1/completions", completion(std::string(400, 'a'), 4));
    });
    CHECK(eventually([&] { return client.getJson("/executions")["begun"] == 1; }));
    CHECK(client.getJson("/load")["active"] == 0);
    client.postJson("/fault", {{"report_lag_ms", 0}});
    CHECK(client.getJson("/load")["active"] == 1);
    client.postJson("/fault", {{"hang", false}});
    caller.join();
    const json events = client.getJson("/cache-events?from=1");
    REQUIRE(events["events"].size() == 4);
    CHECK(events["events"][2]["seq"] == 4);
    CHECK(events["next"] == 6);

    standin_process late("engine", {"--speedup=100", "--cache-event-lag-ms=60000"});
    standin_client other(late.address());
    other.postJson("/v1/completions", completion(std::string(400, 'a'), 4));
    CHECK(other.getJson("/cache-events?from=1")["events"].empty());
}

TEST_CASE("load tool: every answer is checked and every request counted")
{
    standin_process engine("engine", {"--w-us=500", "--h-us=10"});
    load_profile profile;
    profile.seconds = 0.5;
    profile.drain = 5;
    profile.targets = {{"engine", engine.address(), 1}};
    profile.customers.emplace_back().name = "c";
    profile.customers[0].load = 100;
    profile.classes.emplace_back().streamed = 0.5;
    standin_client client(engine.address());
    const auto run = [&] {
        const auto plan = planRequests(profile);
        load_row total = runOpenLoop(profile, *plan, 2).statistics.total();
        CHECK(total.intended == plan->size());
        CHECK(total.intended
              == total.whole + total.refused + total.failed + total.cut + total.wrong
                     + total.unfinished);
        return total;
    };

    SUBCASE("whole answers")
    {
        const load_row total = run();
        CHECK(total.whole == total.intended);
        CHECK(client.getJson("/executions")["finished"] == total.intended);
    }
    SUBCASE("cut streams and failures are seen")
    {
        profile.classes[0].streamed = 1;
        client.postJson("/fault", {{"cut_stream_after", 3}, {"cut_streams", 4}});
        CHECK(run().cut == 4);
        client.postJson("/fault", {{"fail_next", 5}});
        CHECK(run().failed == 5);
    }
    SUBCASE("refusals are seen")
    {
        profile.classes[0].promptTokens = 10;
        profile.classes[0].maxTokens = 1'000'000;
        const load_row total = run();
        CHECK(total.refused == total.intended);
        CHECK(total.reasons.at("400 context_length_exceeded") == total.intended);
    }
    SUBCASE("what never ends is unfinished, and the run ends all the same")
    {
        profile.drain = 0.2;
        client.postJson("/fault", {{"hang", true}});
        const load_row total = run();
        CHECK(total.unfinished == total.intended);
        CHECK_FALSE(total.total.quantile(0.01));
    }
    SUBCASE("answers of other requests are wrong")
    {
        client.postJson("/fault", {{"cross_answers", 6}});
        CHECK(run().wrong == 6);
    }
    SUBCASE("closed loop")
    {
        const load_row total = runClosedLoop(profile, 4, 2).statistics.total();
        CHECK(total.whole > 0);
        CHECK(total.whole == total.intended);
    }
}

TEST_CASE("plain service: every execution is on record")
{
    standin_process process("plain");
    REQUIRE_FALSE(process.address().empty());
    standin_client client(process.address());
    const auto call = [&] {
        return client.ask(makeRequest("POST", "/permits/7?x=1", "hello",
                                      {{"Idempotency-Key", "k1"}, {"x-request-id", "r1"}}));
    };

    SUBCASE("a call is echoed")
    {
        const json echo = json::parse(call()->body);
        CHECK(echo["body"] == "hello");
        CHECK(echo["path"] == "/permits/7?x=1");
        const json execution = client.getJson("/executions")["executions"][0];
        CHECK(execution["idempotency_key"] == "k1");
        CHECK(execution["request_id"] == "r1");
        CHECK(execution["outcome"] == "answered");
    }
    SUBCASE("a refused call is not executed")
    {
        client.postJson("/fault", {{"refuse", true}});
        CHECK(call()->status == 503);
        CHECK(client.getJson("/executions")["count"] == 0);
    }
    SUBCASE("a cut call was executed")
    {
        client.postJson("/fault", {{"cut_after_execute", 1}});
        CHECK(absl::IsAborted(call().status()));
        CHECK(client.getJson("/executions")["executions"][0]["outcome"] == "cut");
        CHECK(call()->status == 200);
    }
    SUBCASE("failure and delay")
    {
        client.postJson("/fault", {{"fail_next", 1}, {"delay_ms", 60}});
        const auto start = std::chrono::steady_clock::now();
        CHECK(call()->status == 500);
        CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(60));
    }
}

TEST_CASE("stand-ins end on SIGTERM and serve loopback only")
{
    for (const char *name : {"platform", "engine", "plain"}) {
        standin_process process(name);
        REQUIRE_FALSE(process.address().empty());
        process.signal(SIGTERM);
        CHECK(process.wait() == 0);
        standin_process exposed(name, {"--listen=0.0.0.0:0"});
        CHECK(exposed.address().empty());
        CHECK(exposed.wait() == 2);
    }
}
