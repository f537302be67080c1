// Tests of the parts of the load tool that need no network: engine model, load plan, load profile,
// answer checker and statistics.
#include <tamarackglade/load/answer_checker.hpp>
#include <tamarackglade/load/batch_run.hpp>
#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/load/load_report.hpp>
#include <tamarackglade/load/profile_parser.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <unordered_map>
#include <unordered_set>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{1h};

std::string promptOfTokens(std::uint32_t tokens, char letter = 'a')
{
    return std::string(tokens * 4, letter);
}

// Runs a model until it is idle and returns its tokens.
std::vector<token_event> runAll(engine_model &model)
{
    std::vector<token_event> events;
    while (const auto deadline = model.nextDeadline()) {
        for (const token_event &event : model.advance(*deadline))
            events.push_back(event);
    }
    return events;
}

load_profile smallProfile()
{
    load_profile profile;
    profile.seconds = 100;
    profile.targets = {{"a", "127.0.0.1:1", 3}, {"b", "127.0.0.1:2", 1}};
    profile.customers.resize(2);
    profile.customers[0].name = "large";
    profile.customers[0].load = 20;
    profile.customers[1].name = "small";
    profile.customers[1].load = 5;
    profile.classes.emplace_back().name = "chat";
    return profile;
}

std::string event(const std::string &text)
{
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text + "\"}}]}\n\n";
}

// Returns a checker that processed the body in pieces of the given size.
answer_checker checkAnswer(const std::string &expected, const std::string &body, std::size_t piece)
{
    answer_checker checker(expected, true);
    for (std::size_t at = 0; at < body.size(); at += piece)
        checker.feed(std::string_view(body).substr(at, piece));
    return checker;
}

// Returns whether n equal short sequences each make a token every W + H * n, the iteration time of
// the claimed profile.
bool followsFormula(const engine_profile &claimed, const engine_profile &actual, std::size_t n)
{
    constexpr std::uint32_t Tokens = 5;
    engine_model model(actual);
    // The first sequence runs one iteration alone; the others join the batch at its end.
    for (std::size_t i = 0; i < n; ++i)
        model.submit(Start, "p", 0, Tokens + (i == 0 ? 1 : 0));
    const duration step =
        claimed.iterationBase + claimed.iterationPerSequence * static_cast<std::int64_t>(n);
    const time_point joined = Start + claimed.iterationBase + claimed.iterationPerSequence;
    std::unordered_map<sequence_id, int> steps;
    for (const token_event &event : runAll(model)) {
        const bool alone = event.sequence == sequence_id(1) && event.index == 0;
        if (!alone && event.when != joined + step * ++steps[event.sequence])
            return false;
    }
    return steps.size() == n;
}

} // namespace

TEST_CASE("engine model: iterations follow W + H * n")
{
    const engine_profile profile;
    for (const std::size_t n : {1, 2, 7, 64, 128})
        CHECK(followsFormula(profile, profile, n));

    SUBCASE("the check fails on other iteration times")
    {
        engine_profile slower = profile;
        slower.iterationPerSequence += 1us;
        CHECK_FALSE(followsFormula(profile, slower, 7));
        engine_profile longer = profile;
        longer.iterationBase += 1us;
        CHECK_FALSE(followsFormula(profile, longer, 7));
    }
    SUBCASE("a speedup divides the time")
    {
        engine_profile faster = profile;
        faster.speedup = 10;
        CHECK(faster.iterationTime(20) == profile.iterationTime(20) / 10);
    }
}

TEST_CASE("engine model: a prompt takes one iteration for each chunk")
{
    engine_profile profile;
    profile.chunkTokens = 512;
    engine_model model(profile);
    model.submit(Start, promptOfTokens(1300), 0, 4);
    const auto events = runAll(model);
    REQUIRE(events.size() == 4);
    CHECK(events[0].when == Start + 3 * profile.iterationTime(1));
    CHECK(events[3].when == Start + 6 * profile.iterationTime(1));
    CHECK(events[3].last);
    CHECK_FALSE(events[2].last);
}

TEST_CASE("engine model: a long prompt delays the tokens of the others")
{
    engine_profile profile;
    engine_model model(profile);
    model.submit(Start, promptOfTokens(5000, 'a'), 0, 1);
    model.submit(Start, promptOfTokens(100, 'b'), 0, 1);
    const auto events = runAll(model);
    REQUIRE(events.size() == 2);
    // The long prompt fills the chunk of every iteration but its last, which also processes the
    // short prompt.
    CHECK(events[0].sequence == sequence_id(1));
    CHECK(events[0].when == events[1].when);
}

TEST_CASE("engine model: slots and KV tokens limit the batch, in order of arrival")
{
    engine_profile profile;
    profile.maxSequences = 2;
    profile.kvTokens = 100;
    engine_model model(profile);
    model.submit(Start, promptOfTokens(50), 0, 10); // 60 tokens
    model.submit(Start, promptOfTokens(60), 0, 10); // 70 tokens: waits for the first to end
    model.submit(Start, promptOfTokens(1), 0, 1); // fits, but is queued behind the second
    CHECK(model.load().active == 1);
    CHECK(model.load().waiting == 2);
    CHECK(model.load().kvUsed == 60);
    std::vector<std::uint64_t> finished;
    for (const token_event &event : runAll(model)) {
        if (event.last)
            finished.push_back(event.sequence.value());
    }
    CHECK(finished == std::vector<std::uint64_t>{1, 3, 2});
    CHECK(model.load().kvUsed == 0);
}

TEST_CASE("engine model: cancel frees the slot at the next iteration")
{
    engine_profile profile;
    profile.maxSequences = 1;
    engine_model model(profile);
    const auto first = model.submit(Start, "a", 0, 100);
    const auto second = model.submit(Start, "b", 0, 1);
    const time_point end = *model.nextDeadline();
    model.cancel(first);
    CHECK(model.advance(end).empty());
    const auto events = runAll(model);
    REQUIRE(events.size() == 1);
    CHECK(events[0].sequence == second);
    CHECK(events[0].when == end + profile.iterationTime(1));
}

TEST_CASE("engine model: the prefix cache shortens a shared prompt and is bounded")
{
    engine_profile profile;
    profile.chunkTokens = 64;
    profile.blockTokens = 16;
    profile.cacheBlocks = 20;
    engine_model model(profile);
    const std::string shared = promptOfTokens(256);
    model.submit(Start, shared + "first question", 0, 1);
    const time_point end = runAll(model).back().when;
    CHECK(end - Start == 5 * profile.iterationTime(1));
    CHECK(model.takeCacheEvents().size() == 16);

    SUBCASE("a second prompt with the shared prefix needs one iteration")
    {
        model.submit(end, shared + "other question", 0, 1);
        CHECK(runAll(model).back().when == end + profile.iterationTime(1));
        CHECK(model.cachedPromptTokens() == 256);
    }
    SUBCASE("other prompts evict the shared prefix")
    {
        model.submit(end, promptOfTokens(320, 'z'), 0, 1);
        const time_point later = runAll(model).back().when;
        CHECK(model.cachedBlocks() == 20);
        model.submit(later, shared, 0, 1);
        CHECK(runAll(model).back().when == later + 4 * profile.iterationTime(1));
    }
}

TEST_CASE("engine model: an answer is resumed from a token, and a pause shifts the iteration")
{
    const engine_profile profile;
    engine_model model(profile);
    model.submit(Start, "a", 3, 5);
    model.postpone(1s);
    const auto events = runAll(model);
    REQUIRE(events.size() == 2);
    CHECK(events[0].index == 3);
    CHECK(events[0].when == Start + 1s + profile.iterationTime(1));
    CHECK(events[1].index == 4);
}

TEST_CASE("engine model: every sequence gets its tokens once and in order")
{
    const bool passed = rc::check([] {
        engine_profile profile;
        profile.maxSequences = *rc::gen::inRange(1, 5);
        profile.kvTokens = *rc::gen::inRange(50, 400);
        profile.chunkTokens = *rc::gen::inRange(1, 64);
        profile.cacheBlocks = *rc::gen::inRange(0, 12);
        engine_model model(profile);
        time_point now = Start;
        std::unordered_map<sequence_id, std::uint32_t> nextToken;
        std::unordered_map<sequence_id, std::uint32_t> endToken;
        std::unordered_set<sequence_id> cancelled;
        const auto checkEvents = [&](const std::vector<token_event> &events) {
            for (const token_event &event : events) {
                RC_ASSERT(!cancelled.contains(event.sequence));
                RC_ASSERT(event.index == nextToken[event.sequence]++);
                RC_ASSERT(event.last == (event.index + 1 == endToken[event.sequence]));
            }
            RC_ASSERT(model.load().active <= profile.maxSequences);
            RC_ASSERT(model.load().kvUsed <= profile.kvTokens);
            RC_ASSERT(model.cachedBlocks() <= profile.cacheBlocks);
        };
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 30));
            checkEvents(model.advance(now));
            const auto prompt = promptOfTokens(*rc::gen::inRange(1, 100), 'a');
            const std::uint32_t first = *rc::gen::inRange(0, 3);
            const std::uint32_t end = first + *rc::gen::inRange(1, 12);
            const auto id = model.submit(now, prompt, first, end);
            nextToken[id] = first;
            endToken[id] = end;
            if (*rc::gen::inRange(0, 4) == 0) {
                const sequence_id cancelledId(*rc::gen::inRange<std::uint64_t>(1, id.value() + 1));
                if (nextToken[cancelledId] < endToken[cancelledId])
                    cancelled.insert(cancelledId);
                model.cancel(cancelledId);
            }
        }
        while (const auto deadline = model.nextDeadline())
            checkEvents(model.advance(*deadline));
        for (const auto &[id, end] : endToken)
            RC_ASSERT(cancelled.contains(id) || nextToken[id] == end);
        RC_ASSERT(model.load().active + model.load().waiting == 0);
    });
    CHECK(passed);
}

TEST_CASE("expected answers depend on model, prompt and index")
{
    const std::string answer = expectedAnswer("m", "prompt", 3);
    CHECK(answer
          == answerToken("m", "prompt", 0) + answerToken("m", "prompt", 1)
                 + answerToken("m", "prompt", 2));
    CHECK(answer != expectedAnswer("n", "prompt", 3));
    CHECK(answer != expectedAnswer("m", "prompt2", 3));
    CHECK(chatPrompt({{{"role", "user"}, {"content", "hi"}}}) == "user: hi\n");
    CHECK(chatPrompt({{{"role", "user"}}}).empty());
    CHECK(chatPrompt("text").empty());
}

TEST_CASE("load plan: fixed by the seed, with the rates and weights of the profile")
{
    load_profile profile = smallProfile();
    const auto plan = planRequests(profile);
    REQUIRE(plan.ok());
    const auto again = planRequests(profile);
    REQUIRE(again->size() == plan->size());
    std::size_t large = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < plan->size(); ++i) {
        const planned_request &request = (*plan)[i];
        CHECK((*again)[i].arrival == request.arrival);
        CHECK((*again)[i].promptSeed == request.promptSeed);
        CHECK((i == 0 || (*plan)[i - 1].arrival <= request.arrival));
        large += request.customer == 0 ? 1 : 0;
        first += request.target == 0 ? 1 : 0;
    }
    // 2,000 and 500 arrivals are expected; the bounds are four standard deviations wide.
    CHECK(large > 1820);
    CHECK(large < 2180);
    CHECK(plan->size() - large > 410);
    CHECK(plan->size() - large < 590);
    CHECK(static_cast<double>(first) / static_cast<double>(plan->size()) > 0.71);
    CHECK(static_cast<double>(first) / static_cast<double>(plan->size()) < 0.79);

    SUBCASE("another seed gives another plan")
    {
        profile.seed = 2;
        CHECK(planRequests(profile)->front().arrival != plan->front().arrival);
    }
    SUBCASE("one customer's excess does not change the arrivals of another")
    {
        profile.customers[0].excess = 5;
        std::vector<duration> before;
        std::vector<duration> after;
        for (const planned_request &request : *plan)
            if (request.customer == 1)
                before.push_back(request.arrival);
        const auto more = planRequests(profile);
        for (const planned_request &request : *more)
            if (request.customer == 1)
                after.push_back(request.arrival);
        CHECK(before == after);
        CHECK(more->size() > plan->size() * 3);
    }
    SUBCASE("a plan that is too long is refused")
    {
        profile.maxRequests = 100;
        CHECK(absl::IsResourceExhausted(planRequests(profile).status()));
    }
    SUBCASE("bursts and the diurnal wave change the rate")
    {
        profile.shape = arrival_shape::Bursty;
        CHECK(shapeFactor(profile, 0.5) == 4);
        CHECK(shapeFactor(profile, 2) == 1);
        CHECK(shapeFactor(profile, 5.5) == 4);
        CHECK(planRequests(profile)->size() > plan->size() * 14 / 10);
        profile.shape = arrival_shape::Diurnal;
        CHECK(shapeFactor(profile, 15) == doctest::Approx(1.5));
        CHECK(shapeFactor(profile, 45) == doctest::Approx(0.5));
    }
}

TEST_CASE("load plan: requests within the rate are those that a token bucket admits")
{
    load_profile profile = smallProfile();
    profile.customers[0].rate = 10;
    profile.customers[0].burst = 5;
    profile.customers[1].rate = 1000;
    profile.customers[1].burst = 1000;
    std::vector<time_point> admitted;
    const auto plan = planRequests(profile);
    for (const planned_request &request : *plan) {
        if (request.customer == 1)
            CHECK(request.withinRate);
        else if (request.withinRate)
            admitted.push_back(time_point{} + request.arrival);
    }
    // The tool sends 20 requests per second; the limit is 10.
    CHECK(admitted.size() > 950);
    for (std::size_t first = 0; first < admitted.size(); ++first) {
        for (std::size_t last = first; last < admitted.size(); ++last) {
            const double allowed = 5 + 10 * toSeconds(admitted[last] - admitted[first]);
            if (static_cast<double>(last - first + 1) > allowed + 1e-6)
                FAIL("more than rate * t + burst");
        }
    }
}

TEST_CASE("load plan: prompts of a customer share prefixes")
{
    load_profile profile = smallProfile();
    profile.classes[0].prefixes = 1;
    planned_request first;
    planned_request second;
    first.promptSeed = 1;
    second.promptSeed = 2;
    const std::string one = promptText(profile, first);
    const std::string two = promptText(profile, second);
    CHECK(one.size() == 64 * 4);
    CHECK(one.substr(0, 32 * 4) == two.substr(0, 32 * 4));
    CHECK(one != two);
    second.customer = 1;
    CHECK(one.substr(0, 32 * 4) != promptText(profile, second).substr(0, 32 * 4));
}

TEST_CASE("load profile: values and faults")
{
    const auto good = parseLoadProfile("[run]\nseconds = 3\nshape = bursty\n[target a]\n"
                                       "address = 127.0.0.1:1\n[customer c]\nrate = 5\n"
                                       "[class k]\nmax-tokens = 9\n[batch b]\ncustomer = c\n");
    CHECK(good.faults.empty());
    CHECK(good.profile.seconds == 3);
    CHECK(good.profile.shape == arrival_shape::Bursty);
    CHECK(good.profile.customers.at(0).rate == 5);
    CHECK(good.profile.classes.at(0).maxTokens == 9);
    CHECK(checkLoadProfile(good.profile).empty());

    const auto bad = parseLoadProfile("[run]\nseconds = -1\ncolour = red\n[customer c]\n"
                                      "rate = fast\n[zoo]\na = b\nnonsense\n[class k]\n"
                                      "max-tokens = 1.5\nstreamed = nan\n");
    REQUIRE(bad.faults.size() == 7);
    CHECK(bad.faults[0]
          == "line 2: [run] seconds: expected a number from 0.01 to 86400, found '-1'");
    CHECK(absl::StartsWith(bad.faults[1], "line 3: [run] colour: expected one of seed"));
    CHECK(absl::StartsWith(bad.faults[2], "line 5: [customer c] rate: expected a number"));
    CHECK(absl::StartsWith(bad.faults[3], "line 7: [zoo] a: expected a section"));
    CHECK(absl::StartsWith(bad.faults[4], "line 10: [class k] max-tokens: expected a whole"));
    CHECK(absl::StartsWith(bad.faults[5], "line 11: [class k] streamed: expected a number"));
    CHECK(bad.faults[6] == "line 8: expected key = value");
    CHECK(checkLoadProfile(load_profile{}).size() == 3);

    load_profile keyed = good.profile;
    CHECK(setCustomerKeys(keyed, "c secret\n").ok());
    CHECK(keyed.customers[0].key == "secret");
    CHECK_FALSE(setCustomerKeys(keyed, "other secret\n").ok());
    CHECK_FALSE(setCustomerKeys(keyed, "c\n").ok());
}

TEST_CASE("answer checker: accepts only the complete expected answer, in any split")
{
    const std::string whole = event("one ") + event("two ") + "data: [DONE]\n\n";
    for (std::size_t piece = 1; piece <= whole.size(); ++piece)
        CHECK(checkAnswer("one two ", whole, piece).isWhole());
    CHECK_FALSE(checkAnswer("one two ", event("one ") + event("two "), 7).isWhole());
    CHECK_FALSE(checkAnswer("one two ", event("one ") + "data: [DONE]\n\n", 7).isWhole());
    CHECK_FALSE(
        checkAnswer("one two ", event("two ") + event("one ") + "data: [DONE]\n\n", 7).isWhole());
    CHECK_FALSE(checkAnswer("one ", whole, 7).isWhole());
    CHECK_FALSE(checkAnswer("one one ", event("one ") + whole, 7).isWhole());
    CHECK(checkAnswer("a", "data: {\"error\":{\"code\":\"cut\"}}\n\n", 5).hasFailed());
    CHECK(checkAnswer("a\"b",
                      "data: {\"choices\": [{\"delta\": {\"content\": \"a\\\"b\"}}]}\n\n"
                      "data: [DONE]\n\n",
                      5)
              .isWhole());
}

TEST_CASE("latency histogram: missing events count in the quantiles")
{
    latency_histogram histogram;
    CHECK_FALSE(histogram.quantile(0.5));
    for (int i = 1; i <= 100; ++i)
        histogram.add(std::chrono::milliseconds(i));
    CHECK(toSeconds(*histogram.quantile(0.5)) == doctest::Approx(0.050).epsilon(0.016));
    CHECK(toSeconds(*histogram.quantile(0.99)) == doctest::Approx(0.099).epsilon(0.016));
    latency_histogram other;
    other.addMissing(10);
    histogram.merge(other);
    CHECK(histogram.count() == 110);
    CHECK(histogram.quantile(0.90));
    CHECK_FALSE(histogram.quantile(0.95));
}

TEST_CASE("load statistics: every outcome counts in the totals and in all reports")
{
    load_profile profile = smallProfile();
    load_report report{profile, {}, {}};
    report.result.measuredSeconds = 10;
    planned_request request;
    request.streamed = true;
    request_outcome outcome;
    outcome.kind = outcome_kind::Whole;
    outcome.firstToken = 20ms;
    outcome.total = 40ms;
    outcome.gaps = {10ms};
    outcome.tokens = outcome.expectedTokens = 2;
    report.result.statistics.record(request, outcome);
    outcome.kind = outcome_kind::Cut;
    outcome.tokens = 1;
    outcome.reason = "no end";
    report.result.statistics.record(request, outcome);
    request_outcome refused;
    refused.kind = outcome_kind::Refused;
    refused.reason = "429 rate_limited";
    report.result.statistics.record(request, refused);
    request.withinRate = false;
    report.result.statistics.record(request, refused);
    const load_row total = report.result.statistics.total();
    CHECK(total.intended == 4);
    CHECK(total.intendedWithinRate == 3);
    CHECK(total.refused == 2);
    CHECK(total.refusedWithinRate == 1);
    CHECK(total.total.count() == 4);
    CHECK(total.firstToken.quantile(0.5));
    CHECK_FALSE(total.firstToken.quantile(0.75));
    CHECK_FALSE(total.gap.quantile(1));

    batch_result batch;
    batch.name = "night";
    report.batches.push_back(batch);
    const std::string text = reportText(report);
    CHECK(absl::StrContains(text, "large/chat"));
    CHECK(absl::StrContains(text, "never"));
    CHECK(absl::StrContains(text, "429 rate_limited: 2"));
    CHECK(absl::StrContains(text, "batch night"));
    const auto json = reportJson(report);
    CHECK(json["all"]["refused_within_rate"] == 1);
    CHECK(json["all"]["first_token"]["p99_ms"].is_null());
    CHECK(json["rows"][0]["customer"] == "large");
    CHECK(absl::StrContains(reportCsv(report), "large,chat,4,3,1,2,1,0,1,0,0,"));
    CHECK(absl::StrContains(reportSvg(report), "<polyline"));
}

TEST_CASE("load statistics: slices count by planned arrival and target")
{
    load_profile profile = smallProfile();
    load_statistics first;
    load_statistics second;
    planned_request request;
    request_outcome whole;
    whole.kind = outcome_kind::Whole;
    request_outcome cut;
    cut.kind = outcome_kind::Cut;
    cut.reason = "no end";
    request.arrival = 199ms;
    first.record(request, whole);
    second.record(request, cut);
    request.arrival = 200ms;
    second.record(request, whole);
    load_report report{profile, {}, {}};
    report.result.measuredSeconds = 1;
    report.result.statistics.merge(first);
    report.result.statistics.merge(second);
    const auto slices = reportJson(report)["slices"];
    REQUIRE(slices.size() == 2);
    CHECK(slices[0]["at_s"] == doctest::Approx(0.1));
    CHECK(slices[0]["target"] == profile.targets[0].name);
    CHECK(slices[0]["intended"] == 2);
    CHECK(slices[0]["whole"] == 1);
    CHECK(slices[0]["reasons"]["no end"] == 1);
    CHECK(slices[1]["at_s"] == doctest::Approx(0.2));
    CHECK(slices[1]["whole"] == 1);
}

TEST_CASE("batch results: each item must have exactly one result, with its own answer")
{
    load_batch batch;
    batch.name = "night";
    batch.items = 3;
    std::vector<std::string> lines;
    for (const absl::string_view text :
         absl::StrSplit(batchInput(batch), '\n', absl::SkipEmpty())) {
        const auto input = nlohmann::json::parse(text.begin(), text.end());
        const std::string answer =
            expectedAnswer("model", chatPrompt(input["body"]["messages"]), batch.maxTokens);
        const nlohmann::json message = {{"role", "assistant"}, {"content", answer}};
        const nlohmann::json choices = nlohmann::json::array({{{"message", message}}});
        lines.push_back(nlohmann::json{{"custom_id", input["custom_id"]},
                                       {"response", {{"body", {{"choices", choices}}}}},
                                       {"error", nullptr}}
                            .dump()
                        + "\n");
    }
    REQUIRE(lines.size() == 3);
    const auto countResults = [&](const std::string &output, const std::string &errors) {
        batch_result result;
        countBatchResults(batch, output, errors, result);
        return result;
    };
    CHECK(countResults(lines[2] + lines[0] + lines[1], "").whole == 3);
    CHECK(countResults(lines[0] + lines[1], "").missing == 1);
    CHECK(countResults(lines[0] + lines[0] + lines[1] + lines[2], "").duplicates == 1);
    const std::string error = R"({"custom_id":"item-2","error":{"code":"x"}})";
    CHECK(countResults(lines[0] + lines[1], error).errors == 1);
    std::string crossed = lines[0];
    crossed.replace(crossed.find("item-0"), 6, "item-1");
    CHECK(countResults(crossed + lines[0] + lines[2], "").wrong == 1);
    CHECK(countResults("nonsense", "").wrong == 1);
}
