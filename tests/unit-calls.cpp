// Tests of calls at the entry: attempts, retries, proofs, keys and error bodies.
#include <tamarackglade/calls/call_tracker.hpp>
#include <tamarackglade/calls/idempotency_key.hpp>
#include <tamarackglade/calls/keyed_call_tracker.hpp>
#include <tamarackglade/calls/make_call_error.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{1h};
const upstream_id A("a");
const upstream_id B("b");

/// Chooses the first upstream that is not excluded.
class first_chooser : public upstream_chooser
{
public:
    std::optional<upstream_id> choose(const route_query &query, time_point /*now*/) override
    {
        for (const auto &upstream : {A, B}) {
            const auto &excluded = query.excluded;
            if (std::find(excluded.begin(), excluded.end(), upstream) == excluded.end())
                return upstream;
        }
        return std::nullopt;
    }
    void onAttemptStarted(const upstream_id & /*upstream*/, time_point /*now*/) override { ++open; }
    void onAttemptEnded(const upstream_id & /*upstream*/, attempt_result result,
                        time_point /*now*/) override
    {
        --open;
        last = result;
    }

    int open = 0;
    attempt_result last = attempt_result::Succeeded;
};

tracked_request requestOf(const std::string &id, bool repeatable)
{
    tracked_request request;
    request.id = request_id(id);
    request.deadline = Start + 5s;
    request.call.repeatable = repeatable;
    return request;
}

template <class Action>
const Action *find(const call_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            return match;
    }
    return nullptr;
}

schema::call_end_message endOf(const std::string &attempt, schema::call_outcome outcome)
{
    schema::call_end_message end;
    end.attempt = attempt;
    end.outcome = outcome;
    return end;
}

struct tracker_fixture
{
    tracker_fixture() : tracker({}, vm_id("e"), incarnation_number(1), chooser)
    {
        tracker.onSideConnected(A, incarnation_number(1), Start);
        tracker.onSideConnected(B, incarnation_number(1), Start);
    }

    std::string sendOf(const std::string &id, bool repeatable)
    {
        const auto actions = tracker.onRequest(requestOf(id, repeatable), Start);
        return find<send_start>(actions)->frame.attempt;
    }

    first_chooser chooser;
    call_tracker tracker;
};

} // namespace

TEST_CASE_FIXTURE(tracker_fixture, "a complete answer")
{
    const auto attempt = sendOf("r", true);
    schema::call_head_message head;
    head.attempt = attempt;
    head.status = 200;
    CHECK(find<caller_head>(tracker.onHead(head, Start)));
    CHECK(tracker.onHead(head, Start).empty());
    schema::call_data_message data;
    data.attempt = attempt;
    CHECK(find<caller_data>(tracker.onData(data, Start)));
    const auto last = tracker.onEnd(endOf(attempt, schema::call_outcome::Complete), Start);
    CHECK_FALSE(find<caller_end>(last)->error);
    CHECK(tracker.onData(data, Start).empty());
    CHECK(tracker.openCalls() == 0);
    CHECK(chooser.open == 0);
    CHECK_FALSE(tracker.nextDeadline());
}

TEST_CASE_FIXTURE(tracker_fixture, "an incomplete answer ends with an explicit error")
{
    const auto attempt = sendOf("r", true);
    schema::call_head_message head;
    head.attempt = attempt;
    tracker.onHead(head, Start);
    const auto actions = tracker.onSideDisconnected(A, Start);
    REQUIRE(find<caller_end>(actions));
    CHECK(find<caller_end>(actions)->error->code == "answer_broken");
    CHECK(find<caller_end>(actions)->ran == execution::Yes);
}

TEST_CASE_FIXTURE(tracker_fixture,
                  "refused attempts are sent to another upstream, then end as not executed")
{
    const auto first = sendOf("r", false);
    const auto actions = tracker.onEnd(endOf(first, schema::call_outcome::NotStarted), Start);
    REQUIRE(find<send_start>(actions));
    CHECK(find<send_start>(actions)->upstream == B);
    const auto second = find<send_start>(actions)->frame.attempt;
    CHECK(tracker.onEnd(endOf(first, schema::call_outcome::Failed), Start).empty());
    const auto last = tracker.onEnd(endOf(second, schema::call_outcome::NotStarted), Start);
    CHECK(find<caller_end>(last)->ran == execution::No);
    CHECK(find<caller_end>(last)->error->retryAfter);
}

TEST_CASE_FIXTURE(tracker_fixture, "a call that must not be repeated is resent only on proof")
{
    const auto attempt = sendOf("r", false);
    SUBCASE("a failure ends the call with unknown execution")
    {
        const auto actions = tracker.onEnd(endOf(attempt, schema::call_outcome::Failed), Start);
        CHECK(find<caller_end>(actions)->ran == execution::Unknown);
    }
    SUBCASE("the same side incarnation gives the proof")
    {
        CHECK(tracker.onSideDisconnected(A, Start).empty());
        const auto proofRequest = tracker.onSideConnected(A, incarnation_number(1), Start);
        REQUIRE(find<send_refuse>(proofRequest));
        CHECK(find<send_refuse>(proofRequest)->attempt.value() == attempt);
        schema::refuse_answer_message answer;
        answer.attempt = attempt;
        answer.never_started = true;
        CHECK(find<send_start>(tracker.onRefuseAnswer(answer, Start))->upstream == B);
    }
    SUBCASE("another side incarnation gives no proof")
    {
        tracker.onSideDisconnected(A, Start);
        const auto actions = tracker.onSideConnected(A, incarnation_number(2), Start);
        CHECK(find<caller_end>(actions)->ran == execution::Unknown);
    }
    SUBCASE("without proof in time, execution is unknown")
    {
        tracker.onSideDisconnected(A, Start);
        CHECK(tracker.tick(Start + 1s).empty());
        CHECK(find<caller_end>(tracker.tick(Start + 2s))->ran == execution::Unknown);
    }
    SUBCASE("a lost VM ends the wait at once")
    {
        tracker.onSideDisconnected(A, Start);
        CHECK(find<caller_end>(tracker.onSideLost(A, Start))->ran == execution::Unknown);
    }
}

TEST_CASE_FIXTURE(tracker_fixture,
                  "a passed deadline or a disconnected caller ends the call at once")
{
    sendOf("r", true);
    CHECK(tracker.nextDeadline() == Start + 5s);
    const auto late = tracker.tick(Start + 5s);
    CHECK(find<send_cancel>(late));
    CHECK(find<caller_end>(late)->ran == execution::Unknown);
    sendOf("s", true);
    CHECK(find<send_cancel>(tracker.onCallerDisconnected(request_id("s"), Start)));
    CHECK(chooser.open == 0);
}

TEST_CASE_FIXTURE(tracker_fixture,
                  "without an upstream, a call is not executed and gets a retry delay")
{
    tracker.onSideDisconnected(A, Start);
    tracker.onSideDisconnected(B, Start);
    const auto actions = tracker.onRequest(requestOf("r", true), Start);
    CHECK(find<caller_end>(actions)->ran == execution::No);
    CHECK(find<caller_end>(actions)->error->retryAfterSeconds() == 1);
}

TEST_CASE("retries stay within their ratio of calls")
{
    retry_budget budget(0.1, 3, 100);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onCall();
        retries += budget.tryRetry() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 103);
}

TEST_CASE_FIXTURE(tracker_fixture,
                  "an upstream that fails half its calls adds at most 10 percent attempts")
{
    constexpr int Calls = 10'000;
    std::mt19937 random(7);
    int attempts = 0;
    for (int i = 0; i < Calls; ++i) {
        auto actions = tracker.onRequest(requestOf("r" + std::to_string(i), true), Start);
        while (const auto *sent = find<send_start>(actions)) {
            ++attempts;
            schema::call_head_message head;
            head.attempt = sent->frame.attempt;
            const bool fails = sent->upstream == A && random() % 2 == 0;
            if (!fails)
                tracker.onHead(head, Start);
            const auto outcome =
                fails ? schema::call_outcome::Failed : schema::call_outcome::Complete;
            actions = tracker.onEnd(endOf(head.attempt, outcome), Start);
        }
    }
    MESSAGE("attempts per call: " << attempts / static_cast<double>(Calls));
    CHECK(attempts <= 1.1 * Calls + tracker_options{}.retryInitial);
    CHECK(attempts > Calls);
}

TEST_CASE("keyed calls")
{
    idempotency_index index;
    keyed_call_tracker keyedTracker(index, "e/1", 1s, 8);
    const keyed_request request{request_id("r"), customer_id("c"), "k", 7, Start + 5s};
    auto resend = request;
    resend.id = request_id("s");

    SUBCASE("while the log is unavailable, a call is refused and not run")
    {
        const auto actions = keyedTracker.onRequest(request, false, Start);
        const auto &end = std::get<caller_end>(actions.at(0));
        CHECK(end.ran == execution::No);
        CHECK(end.error->status == 503);
    }
    SUBCASE("runs once its record is folded")
    {
        const auto record =
            std::get<append_started>(keyedTracker.onRequest(request, true, Start).at(0)).record;
        CHECK(keyedTracker.onFolded(Start).empty());
        index.apply(record, log_offset(1));
        CHECK(std::holds_alternative<run_keyed>(keyedTracker.onFolded(Start).at(0)));
        const auto pending = keyedTracker.onRequest(resend, true, Start);
        CHECK(std::get<caller_end>(pending.at(0)).ran == execution::Unknown);
        auto other = resend;
        other.requestDigest = 8;
        CHECK(std::get<caller_end>(keyedTracker.onRequest(other, true, Start).at(0)).error->status
              == 422);

        SUBCASE("a small answer is replayed")
        {
            const auto ended =
                keyedTracker.onCallEnded(request.id, execution::Yes, 201, "text/plain", {'o', 'k'});
            index.apply(std::get<append_finished>(ended.at(0)).record, log_offset(2));
            const auto again = keyedTracker.onRequest(resend, true, Start);
            CHECK(std::get<replay_answer>(again.at(0)).answered.status == 201);
        }
        SUBCASE("a large answer is not kept")
        {
            const auto ended = keyedTracker.onCallEnded(request.id, execution::Yes, 200, "",
                                                        std::vector<std::uint8_t>(9));
            index.apply(std::get<append_finished>(ended.at(0)).record, log_offset(2));
            const auto again = keyedTracker.onRequest(resend, true, Start);
            CHECK(std::get<caller_end>(again.at(0)).ran == execution::Yes);
        }
        SUBCASE("a call that certainly did not run frees its key")
        {
            const auto ended = keyedTracker.onCallEnded(request.id, execution::No, 503, "", {});
            index.apply(std::get<append_finished>(ended.at(0)).record, log_offset(2));
            const auto again = keyedTracker.onRequest(resend, true, Start);
            CHECK(std::holds_alternative<append_started>(again.at(0)));
        }
        SUBCASE("a key is free after the log's retention")
        {
            index.trim(log_offset(2));
            CHECK(index.size() == 0);
        }
    }
    SUBCASE("the first claim in the log holds the key")
    {
        keyedTracker.onRequest(request, true, Start);
        schema::call_started_message theirs;
        theirs.customer = "c";
        theirs.key = "k";
        theirs.request_digest = 7;
        theirs.call_id = "other/1";
        index.apply(theirs, log_offset(1));
        const auto lost = keyedTracker.onFolded(Start);
        CHECK(std::get<caller_end>(lost.at(0)).error->status == 409);
        // Without the release, this claim would hold the key once the log drops the other one.
        const auto &release = std::get<append_finished>(lost.at(1)).record;
        CHECK(release.call_id == "e/1/1");
        CHECK(release.execution == schema::call_execution::No);
    }
    SUBCASE("a claim that is appended after its timeout has no effect")
    {
        const auto record =
            std::get<append_started>(keyedTracker.onRequest(request, true, Start).at(0)).record;
        const auto actions = keyedTracker.tick(Start + 1s);
        REQUIRE(actions.size() == 2);
        CHECK(std::get<caller_end>(actions[1]).ran == execution::No);
        index.apply(std::get<append_finished>(actions[0]).record, log_offset(1));
        index.apply(record, log_offset(2));
        CHECK(keyedTracker.onFolded(Start + 2s).empty());
        CHECK_FALSE(index.find(customer_id("c"), "k"));
    }
}

TEST_CASE("errors returned to callers")
{
    const auto error = makeCallError(call_failure::Overloaded, execution::No, 1500ms);
    CHECK(error.retryAfterSeconds() == 2);
    const auto body = nlohmann::json::parse(error.toJson(request_id("r1")));
    CHECK(body["error"]["executed"] == "no");
    CHECK(body["error"]["request_id"] == "r1");
    CHECK(body["error"]["code"] == "overloaded");
    CHECK_FALSE(makeCallError(call_failure::UpstreamFailed, execution::Unknown, 1s).retryAfter);
    auto bad = error;
    bad.message = "\xff";
    CHECK(nlohmann::json::parse(bad.toJson(request_id("r"))).is_object());
}

TEST_CASE("claims of keys and the log's retention")
{
    const auto claimOf = [](const std::string &callId) {
        schema::call_started_message record;
        record.customer = "c";
        record.key = "k";
        record.call_id = callId;
        return record;
    };
    const auto releaseOf = [](const std::string &callId) {
        schema::call_finished_message record;
        record.customer = "c";
        record.key = "k";
        record.call_id = callId;
        record.execution = schema::call_execution::No;
        return record;
    };
    idempotency_index index;
    index.apply(claimOf("a"), log_offset(1));
    index.apply(claimOf("b"), log_offset(2));
    CHECK(index.find(customer_id("c"), "k")->callId == "a");

    SUBCASE("an index that trims late agrees with one that never applied the first claim")
    {
        idempotency_index late;
        late.apply(claimOf("b"), log_offset(2));
        index.trim(log_offset(2));
        for (auto *each : {&index, &late}) {
            each->apply(claimOf("c"), log_offset(3));
            REQUIRE(each->find(customer_id("c"), "k") != nullptr);
            CHECK(each->find(customer_id("c"), "k")->callId == "b");
        }
    }
    SUBCASE("a released claim holds no key, whatever the order of releases")
    {
        index.apply(releaseOf("b"), log_offset(3));
        index.apply(releaseOf("a"), log_offset(4));
        CHECK(index.size() == 0);
    }
    SUBCASE("a claim that is appended twice is stored once")
    {
        index.apply(claimOf("a"), log_offset(3));
        index.apply(releaseOf("b"), log_offset(4));
        index.apply(releaseOf("a"), log_offset(5));
        CHECK(index.size() == 0);
    }
    SUBCASE("the offset of the kept answer is stored")
    {
        auto finished = releaseOf("a");
        finished.execution = schema::call_execution::Yes;
        finished.status = 200;
        index.apply(finished, log_offset(3));
        CHECK(index.find(customer_id("c"), "k")->finishedOffset == log_offset(3));
    }
}

TEST_CASE("Idempotency-Keys")
{
    const auto codeOf = [](const std::string &key) {
        const auto fault = validateIdempotencyKey(key);
        return fault ? fault->code : "";
    };
    CHECK(codeOf("tonight-1").empty());
    CHECK(codeOf("a key with spaces ~").empty());
    CHECK(codeOf(std::string(MaxIdempotencyKeyBytes, 'k')).empty());
    CHECK(codeOf("") == "invalid_idempotency_key");
    CHECK(codeOf(std::string(MaxIdempotencyKeyBytes + 1, 'k')) == "invalid_idempotency_key");
    for (const char bad : {'\0', '\t', '\n', '\x1f', '\x7f', '\x80', '\xff'})
        CHECK(codeOf(std::string("a") + bad) == "invalid_idempotency_key");
    CHECK(validateIdempotencyKey("")->status == 400);
    CHECK(validateIdempotencyKey("")->ran == execution::No);
}

TEST_CASE("digests of keyed requests")
{
    const auto digest = computeRequestDigest("POST", "/records/1", "{}");
    CHECK(digest == computeRequestDigest("POST", "/records/1", "{}"));
    CHECK(digest != computeRequestDigest("PUT", "/records/1", "{}"));
    CHECK(digest != computeRequestDigest("POST", "/records/2", "{}"));
    CHECK(digest != computeRequestDigest("POST", "/records/1", "{ }"));
    CHECK(computeRequestDigest("POST", "/a", "b") != computeRequestDigest("POST", "/ab", ""));
}
