// Tests of the load tool's parts that need no network: the engine model in virtual time.
#include <tamarackglade/load/engine_model.hpp>
#include <tamarackglade/load/expected_answer.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <unordered_map>
#include <unordered_set>
#include <vector>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const instant Start{1h};

std::string promptOfTokens(std::uint32_t tokens, char letter = 'a')
{
    return std::string(tokens * 4, letter);
}

// Runs a model until it is idle.
std::vector<token_event> runAll(engine_model &model)
{
    std::vector<token_event> events;
    while (const auto deadline = model.nextDeadline()) {
        for (const token_event &event : model.advance(*deadline))
            events.push_back(event);
    }
    return events;
}

// The oracle of the iteration time: n equal short sequences make a token each W + H * n.
bool followsFormula(const engine_profile &claimed, const engine_profile &actual, std::size_t n)
{
    constexpr std::uint32_t Tokens = 5;
    engine_model model(actual);
    // The first sequence starts an iteration alone; the others join at its end.
    for (std::size_t i = 0; i < n; ++i)
        model.submit(Start, "p", 0, Tokens + (i == 0 ? 1 : 0));
    const duration step =
        claimed.iterationBase + claimed.iterationPerSequence * static_cast<std::int64_t>(n);
    const instant joined = Start + claimed.iterationBase + claimed.iterationPerSequence;
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
    // The chunk is the long prompt's until its last iteration has room for the short one.
    CHECK(events[0].sequence == sequence_id(1));
    CHECK(events[0].when == events[1].when);
}

TEST_CASE("engine model: slots and KV tokens bound the batch, in order of arrival")
{
    engine_profile profile;
    profile.maxSequences = 2;
    profile.kvTokens = 100;
    engine_model model(profile);
    model.submit(Start, promptOfTokens(50), 0, 10); // 60 tokens
    model.submit(Start, promptOfTokens(60), 0, 10); // 70 tokens: waits for the first
    model.submit(Start, promptOfTokens(1), 0, 1); // would fit, but is behind the second
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
    const instant end = *model.nextDeadline();
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
    const instant end = runAll(model).back().when;
    CHECK(end - Start == 5 * profile.iterationTime(1));
    CHECK(model.takeCacheEvents().size() == 16);

    SUBCASE("a second question on it needs one iteration")
    {
        model.submit(end, shared + "other question", 0, 1);
        CHECK(runAll(model).back().when == end + profile.iterationTime(1));
        CHECK(model.cachedPromptTokens() == 256);
    }
    SUBCASE("other prompts evict it")
    {
        model.submit(end, promptOfTokens(320, 'z'), 0, 1);
        const instant later = runAll(model).back().when;
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
    const bool held = rc::check([] {
        engine_profile profile;
        profile.maxSequences = *rc::gen::inRange(1, 5);
        profile.kvTokens = *rc::gen::inRange(50, 400);
        profile.chunkTokens = *rc::gen::inRange(1, 64);
        profile.cacheBlocks = *rc::gen::inRange(0, 12);
        engine_model model(profile);
        instant now = Start;
        std::unordered_map<sequence_id, std::uint32_t> nextToken;
        std::unordered_map<sequence_id, std::uint32_t> endToken;
        std::unordered_set<sequence_id> cancelled;
        const auto take = [&](const std::vector<token_event> &events) {
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
            take(model.advance(now));
            const auto prompt = promptOfTokens(*rc::gen::inRange(1, 100), 'a');
            const std::uint32_t first = *rc::gen::inRange(0, 3);
            const std::uint32_t end = first + *rc::gen::inRange(1, 12);
            const auto id = model.submit(now, prompt, first, end);
            nextToken[id] = first;
            endToken[id] = end;
            if (*rc::gen::inRange(0, 4) == 0) {
                const sequence_id victim(*rc::gen::inRange<std::uint64_t>(1, id.value() + 1));
                if (nextToken[victim] < endToken[victim])
                    cancelled.insert(victim);
                model.cancel(victim);
            }
        }
        while (const auto deadline = model.nextDeadline())
            take(model.advance(*deadline));
        for (const auto &[id, end] : endToken)
            RC_ASSERT(cancelled.contains(id) || nextToken[id] == end);
        RC_ASSERT(model.load().active + model.load().waiting == 0);
    });
    CHECK(held);
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
