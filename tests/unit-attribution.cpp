// Tests of which responses count for a request, and which prove that it didn't run.
#include <tamarackglade/attribution/response_verdict.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

using namespace tamarack;

namespace {

const request_id Present("present");
const request_id Other("other");

struct past_exchange
{
    request_id request;
    bool isNamed;
};

connection_history historyOf(const std::vector<past_exchange> &exchanges)
{
    connection_history history;
    for (const past_exchange &each : exchanges) {
        history.onSent(each.request);
        history.onResponse(each.isNamed);
    }
    return history;
}

response_facts refusalNaming(std::optional<request_id> names, unsigned status = 503)
{
    response_facts facts;
    facts.status = status;
    facts.names = std::move(names);
    facts.claimsNotRun = true;
    return facts;
}

response_facts answerNaming(std::optional<request_id> names, unsigned status = 200)
{
    response_facts facts;
    facts.status = status;
    facts.names = std::move(names);
    facts.isSigned = true;
    return facts;
}

struct attribution_case
{
    const char *description;
    std::vector<past_exchange> before;
    response_facts response;
    response_verdict expected;
};

// A response as an upstream sends it.
struct sent_response
{
    request_id request;
    bool isNamed;
    bool isRefusal;
};

response_facts factsOf(const sent_response &response)
{
    const auto names = response.isNamed ? std::optional(response.request) : std::nullopt;
    return response.isRefusal ? refusalNaming(names) : answerNaming(names);
}

} // namespace

TEST_CASE("a response counts only for the request that it must belong to")
{
    const std::vector<past_exchange> none;
    const std::vector<past_exchange> named{{Other, true}};
    const std::vector<past_exchange> unnamed{{Other, false}};
    const std::vector<past_exchange> ownNamed{{Present, true}};
    const std::vector<past_exchange> ownThenOther{{Present, true}, {Other, true}};
    response_facts unsignedAnswer = answerNaming(Present);
    unsignedAnswer.isSigned = false;
    response_facts signedRefusal = refusalNaming(Present);
    signedRefusal.isSigned = true;
    const std::vector<attribution_case> cases{
        {"refusal with the id, new connection", none, refusalNaming(Present),
         response_verdict::NotRun},
        {"refusal without an id, new connection", none, refusalNaming(std::nullopt),
         response_verdict::NotRun},
        {"refusal with another id, new connection", none, refusalNaming(Other),
         response_verdict::OtherRequest},
        {"421 with the id, new connection", none, refusalNaming(Present, 421),
         response_verdict::NotRun},
        {"429 with the id, kept connection", named, refusalNaming(Present, 429),
         response_verdict::NotRun},
        {"refusal without an id, all before it had one", named, refusalNaming(std::nullopt),
         response_verdict::NotRun},
        {"refusal with another id, kept connection", named, refusalNaming(Other),
         response_verdict::OtherRequest},
        {"refusal without an id, one before it had none", unnamed, refusalNaming(std::nullopt),
         response_verdict::MayBeCopy},
        {"refusal with the id, one before it had none", unnamed, refusalNaming(Present),
         response_verdict::NotRun},
        {"refusal with the id, which the connection carried", ownNamed, refusalNaming(Present),
         response_verdict::MayBeCopy},
        {"421 with the id, which the connection carried", ownNamed, refusalNaming(Present, 421),
         response_verdict::MayBeCopy},
        {"refusal with the id, which the connection carried earlier", ownThenOther,
         refusalNaming(Present), response_verdict::MayBeCopy},
        {"answer with the id, kept connection", named, answerNaming(Present),
         response_verdict::Answer},
        {"answer with the id, which the connection carried", ownNamed, answerNaming(Present),
         response_verdict::MayBeCopy},
        {"answer without an id, one before it had none", unnamed, answerNaming(std::nullopt),
         response_verdict::MayBeCopy},
        {"failure with the id", named, answerNaming(Present, 500), response_verdict::Answer},
        {"answer without a signature", none, unsignedAnswer, response_verdict::Unsigned},
        {"refusal with a signature", none, signedRefusal, response_verdict::NotRun},
        {"success that says that nothing ran", none, refusalNaming(Present, 200),
         response_verdict::Contradictory},
    };
    for (const attribution_case &each : cases) {
        CAPTURE(each.description);
        const auto verdict = judgeResponse(each.response, Present, historyOf(each.before));
        CHECK(verdict == each.expected);
        const bool counts =
            verdict == response_verdict::Answer || verdict == response_verdict::NotRun;
        CHECK(std::string(rejectionReason(verdict)).empty() == counts);
    }
}

TEST_CASE("no copy of an earlier response on a connection counts for a later request")
{
    const bool held = rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, connection_history::MaxRequests);
        connection_history history;
        std::vector<sent_response> sent;
        for (std::size_t i = 0; i < count; ++i) {
            const request_id id("r" + std::to_string(*rc::gen::inRange(0, 6)));
            sent.push_back({id, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
            history.onSent(id);
            history.onResponse(sent.back().isNamed);
        }
        const request_id present("r" + std::to_string(*rc::gen::inRange(0, 6)));
        const sent_response &copied = *rc::gen::elementOf(sent);
        const auto verdict = judgeResponse(factsOf(copied), present, history);
        RC_ASSERT(verdict == response_verdict::OtherRequest
                  || verdict == response_verdict::MayBeCopy);
    });
    CHECK(held);
}

TEST_CASE("a response on a connection that may carry its request always counts")
{
    const bool held = rc::check([] {
        connection_history history;
        const auto count = *rc::gen::inRange<std::size_t>(0, 100);
        for (std::size_t i = 0; i < count; ++i) {
            history.onSent(request_id("r" + std::to_string(i)));
            history.onResponse(true);
        }
        RC_ASSERT(history.mayCarry(Present));
        const bool isRefusal = *rc::gen::arbitrary<bool>();
        const sent_response response{Present, *rc::gen::arbitrary<bool>(), isRefusal};
        RC_ASSERT(judgeResponse(factsOf(response), Present, history)
                  == (isRefusal ? response_verdict::NotRun : response_verdict::Answer));
    });
    CHECK(held);
}

TEST_CASE("a connection's history is bounded and forgets the oldest requests first")
{
    connection_history history;
    for (std::size_t i = 0; i <= connection_history::MaxRequests; ++i)
        history.onSent(request_id("r" + std::to_string(i)));
    CHECK(history.requests() == connection_history::MaxRequests + 1);
    CHECK_FALSE(history.carried(request_id("r0")));
    CHECK(history.carried(request_id("r1")));
}

TEST_CASE("only a response that names an earlier request of its connection is read past")
{
    connection_history before;
    before.onSent(request_id("earlier"));
    before.onResponse(true);
    const request_id present("present");
    const auto naming = [](std::optional<request_id> id) {
        response_facts response;
        response.status = 503;
        response.names = std::move(id);
        return response;
    };
    CHECK(isCopyOfEarlier(naming(request_id("earlier")), present, before));
    CHECK_FALSE(isCopyOfEarlier(naming(present), present, before));
    CHECK_FALSE(isCopyOfEarlier(naming(request_id("unknown")), present, before));
    CHECK_FALSE(isCopyOfEarlier(naming(std::nullopt), present, before));
    CHECK_FALSE(isCopyOfEarlier(naming(request_id("earlier")), present, connection_history()));
    before.onSent(present);
    CHECK_FALSE(isCopyOfEarlier(naming(present), present, before));
}
