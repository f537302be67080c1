// Tests of the gate: attempt ledger, admission queue, iteration model, and scheduling of online and
// batch calls.
#include <tamarackglade/gate/side_gate.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace tamarack;
using namespace std::chrono_literals;

namespace {

const time_point Start{1h};
const connection_id Entry(1);

call_attempt_name nameOf(std::uint64_t sequence)
{
    return {vm_id("e/1"), incarnation_number(3), sequence, incarnation_number(9)};
}

schema::start_call_message callOf(std::uint64_t sequence, schema::call_class callClass,
                                  const std::string &customer = "c")
{
    schema::start_call_message call;
    call.attempt = nameOf(sequence).format().value();
    call.call_class = callClass;
    call.customer = customer;
    call.deadline_ms = 10'000;
    call.weight = 1;
    call.repeatable = true;
    return call;
}

template <class Action>
std::vector<Action> only(const gate_actions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

std::vector<schema::call_end_message> endsOf(const gate_actions &actions)
{
    std::vector<schema::call_end_message> ends;
    for (const auto &sent : only<send_frame>(actions)) {
        if (const auto *end = std::get_if<schema::call_end_message>(&sent.frame))
            ends.push_back(*end);
    }
    return ends;
}

/// @return a gate with one connection and that maximum number of streams
side_gate makeGate(std::size_t streams)
{
    gate_options options;
    options.maxStreams = streams;
    side_gate gate(options, incarnation_number(9));
    gate.onConnected(Entry, Start);
    return gate;
}

} // namespace

TEST_CASE("attempt ids")
{
    CHECK(call_attempt_name::parse(nameOf(7).format())->sequence == 7);
    CHECK(call_attempt_name::parse(nameOf(7).format())->entry == vm_id("e/1"));
    CHECK_FALSE(call_attempt_name::parse(attempt_id("x")));
    CHECK_FALSE(call_attempt_name::parse(attempt_id("a/1/x/3")));
    CHECK_FALSE(call_attempt_name::parse(attempt_id("/1/2/3")));
}

TEST_CASE("attempt ledger")
{
    ledger_limits limits;
    limits.maxSettledPerSender = 4;
    attempt_ledger ledger(incarnation_number(9), limits, gate_mutation::None);

    SUBCASE("a refused attempt never starts")
    {
        CHECK(ledger.ensureNeverStarts(nameOf(1), Start));
        CHECK(ledger.admit(nameOf(1)) == dedup_result::Refused);
    }
    SUBCASE("a started attempt is not refused")
    {
        CHECK(ledger.admit(nameOf(1)) == dedup_result::New);
        ledger.start(nameOf(1));
        CHECK_FALSE(ledger.ensureNeverStarts(nameOf(1), Start));
        CHECK(ledger.admit(nameOf(1)) == dedup_result::Duplicate);
    }
    SUBCASE("an earlier incarnation's attempts are unknown")
    {
        auto name = nameOf(1);
        name.sideIncarnation = incarnation_number(8);
        CHECK(ledger.admit(name) == dedup_result::Unknown);
        CHECK_FALSE(ledger.ensureNeverStarts(name, Start));
    }
    SUBCASE("evicted attempts are unknown, by age and by count")
    {
        for (std::uint64_t i = 1; i <= 10; ++i) {
            ledger.admit(nameOf(i));
            ledger.start(nameOf(i));
            ledger.finish(nameOf(i), Start);
        }
        CHECK(ledger.size() == 4);
        CHECK(ledger.admit(nameOf(1)) == dedup_result::Unknown);
        CHECK_FALSE(ledger.ensureNeverStarts(nameOf(1), Start));
        CHECK(ledger.admit(nameOf(10)) == dedup_result::Duplicate);
        ledger.tick(Start + limits.retention);
        CHECK(ledger.size() == 0);
        CHECK(ledger.admit(nameOf(10)) == dedup_result::Unknown);
        CHECK(ledger.admit(nameOf(11)) == dedup_result::New);
    }
    SUBCASE("old entry incarnations are evicted and their attempts stay unknown")
    {
        ledger.ensureNeverStarts(nameOf(1), Start);
        auto newer = nameOf(1);
        newer.entryIncarnation = incarnation_number(4);
        ledger.ensureNeverStarts(newer, Start + limits.retention);
        ledger.tick(Start + limits.retention);
        CHECK(ledger.size() == 1);
        CHECK(ledger.admit(nameOf(2)) == dedup_result::Unknown);
    }
}

TEST_CASE("iteration model")
{
    iteration_model model(8ms, 650us);
    CHECK(toSeconds(model.predict(10)) == doctest::Approx(0.0145));
    SUBCASE("fits the line of an engine")
    {
        for (int i = 0; i < 2000; ++i) {
            const auto streams = static_cast<std::size_t>(1 + i % 40);
            model.observe(streams, 20ms + 1ms * streams);
        }
        CHECK(toSeconds(model.predict(40)) == doctest::Approx(0.060).epsilon(0.02));
        CHECK(model.streamsWithin(76ms) >= 54);
        CHECK(model.streamsWithin(76ms) <= 58);
    }
    SUBCASE("stays accurate when all samples have the same load")
    {
        for (int i = 0; i < 2000; ++i)
            model.observe(5, 11250us);
        CHECK(toSeconds(model.predict(5)) == doctest::Approx(0.01125).epsilon(0.01));
    }
}

TEST_CASE("admission queue")
{
    admission_limits limits;
    limits.maxQueued = 10;
    admission_queue queue(limits);
    const auto enqueue = [&](const std::string &id, const std::string &customer,
                             std::uint32_t weight) {
        return queue.enqueue({id, customer_id(customer), weight, Start + 10s}, Start);
    };

    SUBCASE("serves customers by weight")
    {
        for (int i = 0; i < 5; ++i) {
            enqueue("a" + std::to_string(i), "a", 1);
            enqueue("b" + std::to_string(i), "b", 2);
        }
        std::map<char, int> served;
        for (int i = 0; i < 6; ++i)
            ++served[queue.pop(Start)->front()];
        CHECK(served['a'] == 2);
        CHECK(served['b'] == 4);
    }
    SUBCASE("a full queue refuses the newest request of the customer with the largest backlog")
    {
        for (int i = 0; i < 10; ++i)
            CHECK_FALSE(enqueue("a" + std::to_string(i), "a", 1));
        const auto refused = enqueue("b", "b", 1);
        REQUIRE(refused);
        CHECK(refused->id == "a9");
        CHECK(refused->retryAfter >= limits.minRetryAfter);
        CHECK(enqueue("a", "a", 1)->id == "a");
        CHECK(queue.size() == 10);
    }
    SUBCASE("refuses a request on arrival if it can't be served by its deadline")
    {
        for (int i = 0; i < 5; ++i)
            enqueue("a" + std::to_string(i), "a", 1);
        const auto refused = queue.enqueue({"x", customer_id("a"), 1, Start + 1ms}, Start);
        REQUIRE(refused);
        CHECK(refused->id == "x");
    }
    SUBCASE("expires requests whose deadline has passed")
    {
        enqueue("a", "a", 1);
        CHECK(queue.expire(Start + 9s).empty());
        CHECK(queue.expire(Start + 10s).size() == 1);
        CHECK(queue.empty());
        CHECK_FALSE(queue.nextDeadline());
    }
}

TEST_CASE("gate: online before batch")
{
    auto gate = makeGate(2);
    const auto batch = schema::call_class::Batch;
    const auto online = schema::call_class::Online;
    REQUIRE(only<open_upstream>(gate.onStart(callOf(1, batch), Entry, Start)).size() == 1);
    REQUIRE(only<open_upstream>(gate.onStart(callOf(2, batch), Entry, Start)).size() == 1);
    gate.onUpstreamHead({attempt_id(callOf(2, batch).attempt), 1}, 200, "", Start);
    gate.onUpstreamData({attempt_id(callOf(2, batch).attempt), 1}, {'x'}, Start);

    const auto actions = gate.onStart(callOf(3, online), Entry, Start);
    REQUIRE(actions.size() == 2);
    SUBCASE("the newest batch stream yields before the online call opens")
    {
        CHECK(std::get<abort_upstream>(actions[0]).run.attempt.value() == callOf(2, batch).attempt);
        CHECK(std::get<open_upstream>(actions[1]).run.attempt.value() == callOf(3, online).attempt);
    }
    SUBCASE("the yielded stream resumes where it stopped, after the growth delay")
    {
        gate.onUpstreamEnd({attempt_id(callOf(3, online).attempt), 1}, Start + 1ms);
        CHECK(gate.batchParked() == 1);
        const auto resumed = only<open_upstream>(gate.tick(Start + 200ms));
        REQUIRE(resumed.size() == 1);
        CHECK(resumed[0].resumeFrom == 1);
        CHECK(resumed[0].run.number == 2);
    }
    SUBCASE("the yielded stream is cancelled when it was parked for the maximum age")
    {
        gate.onStart(callOf(4, online), Entry, Start);
        const auto ends = endsOf(gate.tick(Start + 31s));
        REQUIRE(ends.size() == 2);
        CHECK(ends[0].outcome == schema::call_outcome::Cancelled);
    }
    SUBCASE("responses of the yielded run are ignored")
    {
        const upstream_run old{attempt_id(callOf(2, batch).attempt), 1};
        CHECK(gate.onUpstreamData(old, {'y'}, Start).empty());
        CHECK(gate.onUpstreamEnd(old, Start).empty());
    }
    SUBCASE("a new batch call is refused as not started")
    {
        const auto ends = endsOf(gate.onStart(callOf(5, batch), Entry, Start));
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].outcome == schema::call_outcome::NotStarted);
        CHECK(ends[0].retry_after_ms > 0);
    }
}

namespace {

schema::start_call_message aloneCall(std::uint64_t sequence)
{
    auto call = callOf(sequence, schema::call_class::Batch);
    call.alone = true;
    return call;
}

/// @return the number of running batch calls after two were started and one that must run alone
std::size_t runningWithAlone(gate_mutation mutation)
{
    gate_options options;
    options.maxStreams = 8;
    options.mutation = mutation;
    side_gate gate(options, incarnation_number(9));
    gate.onConnected(Entry, Start);
    time_point now = Start;
    for (const auto &call : {callOf(1, schema::call_class::Batch),
                             callOf(2, schema::call_class::Batch), aloneCall(3)}) {
        gate.onStart(call, Entry, now);
        now += options.batchGrowthDelay;
        gate.tick(now);
    }
    return gate.batchRunning();
}

} // namespace

TEST_CASE("gate: a batch call that must run alone")
{
    auto gate = makeGate(8);
    const time_point later = Start + gate_options{}.batchGrowthDelay;
    const upstream_run first{nameOf(1).format(), 1};
    SUBCASE("waits until the others have ended, and blocks new ones until it ends")
    {
        gate.onStart(callOf(1, schema::call_class::Batch), Entry, Start);
        CHECK(only<open_upstream>(gate.onStart(aloneCall(2), Entry, later)).empty());
        CHECK(endsOf(gate.onStart(callOf(3, schema::call_class::Batch), Entry, later)).size() == 1);
        const auto opened = only<open_upstream>(gate.onUpstreamEnd(first, later));
        REQUIRE(opened.size() == 1);
        CHECK(opened[0].call.attempt == nameOf(2).format().value());
        CHECK(endsOf(gate.onStart(callOf(4, schema::call_class::Batch), Entry, later)).size() == 1);
        gate.onUpstreamEnd(opened[0].run, later);
        const auto next = gate.onStart(callOf(5, schema::call_class::Batch), Entry, later);
        CHECK(only<open_upstream>(next).size() == 1);
    }
    SUBCASE("runs beside online calls")
    {
        gate.onStart(callOf(1, schema::call_class::Online), Entry, Start);
        CHECK(only<open_upstream>(gate.onStart(aloneCall(2), Entry, later)).size() == 1);
    }
    SUBCASE("is reported as not started when it waits for the maximum age")
    {
        gate.onStart(callOf(1, schema::call_class::Batch), Entry, Start);
        gate.onStart(aloneCall(2), Entry, later);
        const auto ends = endsOf(gate.tick(later + gate_options{}.maxParkedAge));
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].outcome == schema::call_outcome::NotStarted);
    }
    SUBCASE("can be refused while it waits")
    {
        gate.onStart(callOf(1, schema::call_class::Batch), Entry, Start);
        gate.onStart(aloneCall(2), Entry, later);
        gate.onRefuseAttempt(nameOf(2).format(), Entry, later);
        CHECK(gate.batchParked() == 0);
        CHECK(only<open_upstream>(gate.onUpstreamEnd(first, later)).empty());
    }
    SUBCASE("runs beside others only with the injected fault")
    {
        CHECK(runningWithAlone(gate_mutation::None) == 2);
        CHECK(runningWithAlone(gate_mutation::IgnoreAlone) == 3);
    }
}

TEST_CASE("gate: leaving, drain and refused attempts")
{
    auto gate = makeGate(1);
    const auto online = schema::call_class::Online;
    gate.onStart(callOf(1, online), Entry, Start);
    gate.onStart(callOf(2, online), Entry, Start);
    REQUIRE(gate.onlineQueued() == 1);

    SUBCASE("when the upstream leaves, waiting calls are not started and running calls continue")
    {
        const auto ends = endsOf(gate.onUpstreamState(schema::upstream_state::Leaving, Start));
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].outcome == schema::call_outcome::NotStarted);
        CHECK(gate.onlineRunning() == 1);
        CHECK(endsOf(gate.onStart(callOf(3, online), Entry, Start)).size() == 1);
    }
    SUBCASE("a draining side still serves waiting calls")
    {
        CHECK(endsOf(gate.onDrain(Start)).empty());
        const upstream_run run{attempt_id(callOf(1, online).attempt), 1};
        const auto actions = gate.onUpstreamEnd(run, Start);
        CHECK(only<open_upstream>(actions).size() == 1);
        CHECK_FALSE(gate.isDrained());
        gate.onUpstreamEnd({attempt_id(callOf(2, online).attempt), 1}, Start);
        CHECK(gate.isDrained());
    }
    SUBCASE("a queued attempt can be refused")
    {
        const auto actions =
            gate.onRefuseAttempt(attempt_id(callOf(2, online).attempt), Entry, Start);
        const auto sent = only<send_frame>(actions);
        REQUIRE(sent.size() == 1);
        CHECK(std::get<schema::refuse_answer_message>(sent[0].frame).never_started);
        CHECK(gate.onlineQueued() == 0);
    }
    SUBCASE("a running attempt can't be refused")
    {
        const auto actions =
            gate.onRefuseAttempt(attempt_id(callOf(1, online).attempt), Entry, Start);
        const auto sent = only<send_frame>(actions);
        REQUIRE(sent.size() == 1);
        CHECK_FALSE(std::get<schema::refuse_answer_message>(sent[0].frame).never_started);
    }
    SUBCASE("a call that is not repeatable keeps running after its connection closed")
    {
        auto once = callOf(9, online);
        once.repeatable = false;
        gate.onUpstreamEnd({attempt_id(callOf(1, online).attempt), 1}, Start);
        gate.onUpstreamEnd({attempt_id(callOf(2, online).attempt), 1}, Start);
        gate.onStart(once, Entry, Start);
        CHECK(only<abort_upstream>(gate.onDisconnected(Entry, Start)).empty());
        CHECK(gate.onlineRunning() == 1);
    }
}

TEST_CASE("gate: batch credits")
{
    gate_options options;
    options.maxStreams = 10;
    side_gate gate(options, incarnation_number(9));
    gate.onConnected(connection_id(1), Start);
    gate.onConnected(connection_id(2), Start);
    gate.onStart(callOf(1, schema::call_class::Batch), connection_id(1), Start);
    gate.onStart(callOf(2, schema::call_class::Batch), connection_id(2), Start);
    std::uint32_t credits = 0;
    for (const auto &sent : only<send_frame>(gate.tick(Start + 1s)))
        credits += std::get<schema::load_report_message>(sent.frame).batch_credits;
    CHECK(credits == 8);
}
